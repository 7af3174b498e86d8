// Child processes of a scenario. Development only: the product starts no processes.
#pragma once

#include <absl/status/statusor.h>
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace cartsail::emulator {

class ChildProcess {
 public:
  // Starts `arguments[0]`; standard output and error go to `log_path`. The child dies with this
  // process.
  static absl::StatusOr<ChildProcess> Start(const std::vector<std::string>& arguments,
                                            const std::string& log_path);

  void Signal(int signal) const;
  // The exit code once ended (128 + signal when killed); nullopt while running.
  std::optional<int> Poll();
  // Waits for the end.
  int Wait();
  bool Running() { return !Poll().has_value(); }
  pid_t Pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  std::optional<int> exit_code_;
};

// A free TCP port on loopback, outside the range that the kernel gives to clients.
uint16_t FreePort();

}  // namespace cartsail::emulator
