#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cartsail/base/status.h"

namespace cartsail::emulator {
namespace {

constexpr int kSignalExitBase = 128;
constexpr uint32_t kFirstPort = 10000;
constexpr uint32_t kPortCount = 20000;
constexpr uint32_t kPortsPerProcess = 97;

int ExitCodeOf(int status) {
  return WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
}

bool CanBind(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

}  // namespace

absl::StatusOr<ChildProcess> ChildProcess::Start(const std::vector<std::string>& arguments,
                                                 const std::string& log_path) {
  std::vector<char*> argv;
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) return MakeError(ErrorKind::kInternal, "fork failed");
  if (pid == 0) {
    // Only calls that are safe between fork and exec.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kSignalExitBase);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Sockets of the relays must not live on in the children.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv.data());
    _exit(kSignalExitBase - 1);
  }
  close(log);
  return ChildProcess(pid);
}

void ChildProcess::Signal(int signal) const {
  if (!exit_code_.has_value()) kill(pid_, signal);
}

std::optional<int> ChildProcess::Poll() {
  if (exit_code_.has_value()) return exit_code_;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) exit_code_ = ExitCodeOf(status);
  return exit_code_;
}

int ChildProcess::Wait() {
  if (exit_code_.has_value()) return *exit_code_;
  int status = 0;
  if (waitpid(pid_, &status, 0) == pid_) exit_code_ = ExitCodeOf(status);
  return exit_code_.value_or(-1);
}

uint16_t FreePort() {
  // Each scenario process walks its own block, so that parallel ones do not race for a port.
  static uint32_t next = static_cast<uint32_t>(getpid()) * kPortsPerProcess;
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPortCount);
    if (CanBind(port)) return port;
  }
}

}  // namespace cartsail::emulator
