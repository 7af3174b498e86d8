#include "world.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>

#include "cartsail/base/status.h"
#include "cartsail/net/http_client.h"
#include "cartsail/store/etcd_client.h"
#include "engine_server.h"

namespace cartsail::emulator {
namespace {

namespace asio = boost::asio;

constexpr Duration kStartTimeout = seconds(20);
constexpr Duration kHttpTimeout = seconds(2);
constexpr Duration kPoll = milliseconds(10);
constexpr int kLogLines = 15;
constexpr int kHeldReceiveBytes = 4096;

Endpoint Loopback(uint16_t port) { return {"127.0.0.1", port}; }

// Options called "flags" go to the program as they are.
void AddFlags(const json::object& options, std::vector<std::string>* arguments) {
  const json::object* flags = GetObject(options, "flags");
  if (flags == nullptr) return;
  for (const auto& flag : *flags) {
    arguments->push_back("--" + std::string(flag.key()));
    if (flag.value().is_string()) {
      arguments->emplace_back(flag.value().as_string());
    } else {
      arguments->push_back(json::serialize(flag.value()));
    }
  }
}

absl::Status NoSuch(const std::string& name) {
  return MakeError(ErrorKind::kInvalidArgument, "no such process or link: " + name);
}

}  // namespace

template <typename T>
T World::RunOnNetwork(asio::awaitable<T> work) {
  std::promise<T> promise;
  std::future<T> future = promise.get_future();
  asio::co_spawn(context_, std::move(work), [&promise](const std::exception_ptr& failure, T value) {
    if (failure) {
      promise.set_exception(failure);
    } else {
      promise.set_value(std::move(value));
    }
  });
  return future.get();
}

World::World(std::string bin, std::string log_folder)
    : bin_(std::move(bin)),
      log_folder_(std::move(log_folder)),
      guard_(asio::make_work_guard(context_)) {
  mkdir(log_folder_.c_str(), 0755);
  network_ = std::thread([this] { context_.run(); });
}

World::~World() {
  for (const int descriptor : held_) close(descriptor);
  for (auto& [name, program] : programs_) {
    if (program.process == nullptr) continue;
    program.process->Signal(SIGKILL);
    program.process->Wait();
  }
  context_.stop();
  network_.join();
}

absl::StatusOr<HttpResponse> World::Http(Endpoint endpoint, HttpRequest request, Duration timeout) {
  return RunOnNetwork(
      Fetch(context_.get_executor(), std::move(endpoint), std::move(request), timeout));
}

absl::Status World::AwaitAnswer(const Endpoint& endpoint, const std::string& path) {
  const TimePoint limit = Now() + kStartTimeout;
  while (Now() < limit) {
    HttpRequest request;
    request.target = path;
    if (Http(endpoint, std::move(request), kHttpTimeout).ok()) return absl::OkStatus();
    std::this_thread::sleep_for(kPoll);
  }
  return MakeError(ErrorKind::kTimeout, "a process did not come up at " + endpoint.ToString());
}

absl::Status World::Launch(const std::string& name, Program program,
                           const std::string& ready_path) {
  absl::StatusOr<ChildProcess> process =
      ChildProcess::Start(program.arguments, fmt::format("{}/{}.log", log_folder_, name));
  if (!process.ok()) return process.status();
  program.process = std::make_unique<ChildProcess>(*process);
  const Endpoint admin = program.admin;
  programs_[name] = std::move(program);
  return AwaitAnswer(admin, ready_path);
}

Endpoint World::AddRelay(const std::string& name, Endpoint target) {
  const uint16_t port = FreePort();
  relays_[name] = MakeRelay(context_, port, std::move(target));
  return Loopback(port);
}

absl::Status World::StartPlatform(const json::object& options) {
  platform_ = Loopback(FreePort());
  Program program;
  program.admin = platform_;
  program.arguments = {bin_ + "/cartsail-emulator", "platform", "--listen", platform_.ToString()};
  AddFlags(options, &program.arguments);
  store_ = MakeEtcdClient(context_.get_executor(), {.endpoint = platform_});
  return Launch("platform", std::move(program), "/admin/stats");
}

absl::Status World::Register(const std::string& kind, const json::object& options,
                             const Endpoint& address) {
  return SetMachine({{"id", GetString(options, "id")},
                     {"kind", kind},
                     {"zone", GetString(options, "zone", "z1")},
                     {"name", GetString(options, "name")},
                     {"address", address.ToString()},
                     {"at_once", true}});
}

absl::Status World::StartBackEnd(const std::string& kind, const json::object& options) {
  const std::string id = GetString(options, "id");
  const Endpoint listen = Loopback(FreePort());
  Program program;
  program.admin = listen;
  program.arguments = {
      bin_ + "/cartsail-emulator", kind, "--id", id, "--listen", listen.ToString()};
  AddFlags(options, &program.arguments);
  const absl::Status status = Launch(id, std::move(program), "/admin/stats");
  if (!status.ok()) return status;
  // "direct": no relay in the link, for measurements.
  const bool direct = GetBool(options, "direct");
  return Register(kind, options, direct ? listen : AddRelay(id, listen));
}

// Links of a node: "ID-platform" (to the platform) and "ID-peer" (from other nodes).
absl::Status World::StartNode(const json::object& options) {
  const std::string id = GetString(options, "id");
  const Endpoint peer = Loopback(FreePort());
  const Endpoint advertised = AddRelay(id + "-peer", peer);
  const Endpoint platform = AddRelay(id + "-platform", platform_);
  Program program;
  program.caller = Loopback(FreePort());
  program.admin = Loopback(FreePort());
  program.arguments = {bin_ + "/cartsaild",
                       "--node-id",
                       id,
                       "--zone",
                       GetString(options, "zone", "z1"),
                       "--listen",
                       program.caller.ToString(),
                       "--admin",
                       program.admin.ToString(),
                       "--peer",
                       peer.ToString(),
                       "--advertise",
                       advertised.ToString(),
                       "--platform",
                       platform.ToString(),
                       "--drain-delay",
                       "200ms"};
  AddFlags(options, &program.arguments);
  const absl::Status registered = Register("node", options, advertised);
  if (!registered.ok()) return registered;
  return Launch(id, std::move(program), "/livez");
}

absl::StatusOr<World::Program*> World::Find(const std::string& name) {
  const auto found = programs_.find(name);
  if (found == programs_.end()) return NoSuch(name);
  return &found->second;
}

absl::Status World::Signal(const std::string& name, int signal) {
  absl::StatusOr<Program*> program = Find(name);
  if (!program.ok()) return program.status();
  (*program)->process->Signal(signal);
  if (signal == SIGKILL) (*program)->process->Wait();
  return absl::OkStatus();
}

absl::Status World::Restart(const std::string& name) {
  absl::StatusOr<Program*> program = Find(name);
  if (!program.ok()) return program.status();
  (*program)->process->Signal(SIGKILL);
  (*program)->process->Wait();
  Program again;
  again.arguments = (*program)->arguments;
  again.admin = (*program)->admin;
  again.caller = (*program)->caller;
  const bool is_node = again.caller.port != 0;
  return Launch(name, std::move(again), is_node ? "/livez" : "/admin/stats");
}

absl::StatusOr<int> World::AwaitExit(const std::string& name, double limit_seconds) {
  absl::StatusOr<Program*> program = Find(name);
  if (!program.ok()) return program.status();
  const TimePoint limit = Now() + FromSeconds(limit_seconds);
  while (Now() < limit) {
    const std::optional<int> code = (*program)->process->Poll();
    if (code.has_value()) return *code;
    std::this_thread::sleep_for(kPoll);
  }
  return MakeError(ErrorKind::kTimeout, name + " did not end");
}

bool World::IsRunning(const std::string& name) {
  const absl::StatusOr<Program*> program = Find(name);
  return program.ok() && (*program)->process->Running();
}

int World::PidOf(const std::string& name) {
  const absl::StatusOr<Program*> program = Find(name);
  return program.ok() ? (*program)->process->Pid() : 0;
}

absl::Status World::SetLink(const std::string& relay, RelayMode mode) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) return NoSuch(relay);
  found->second->SetMode(mode);
  return absl::OkStatus();
}

absl::Status World::SetLinkDelay(const std::string& relay, Duration delay) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) return NoSuch(relay);
  found->second->SetDelay(delay);
  return absl::OkStatus();
}

absl::Status World::SetMachine(const json::object& machine) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/admin/machines";
  request.body = json::serialize(machine);
  const absl::StatusOr<HttpResponse> response = Http(platform_, std::move(request), kHttpTimeout);
  if (!response.ok()) return response.status();
  if (response->status == 200) return absl::OkStatus();
  return MakeError(ErrorKind::kInvalidArgument, response->body);
}

absl::Status World::SetFaults(const std::string& name, const json::object& faults) {
  absl::StatusOr<Program*> program = Find(name);
  if (!program.ok()) return program.status();
  HttpRequest request;
  request.method = "POST";
  request.target = "/admin/faults";
  request.body = json::serialize(faults);
  // A crash takes its own answer with it.
  const absl::StatusOr<HttpResponse> response =
      Http((*program)->admin, std::move(request), kHttpTimeout);
  const bool crashes = faults.contains("crash");
  return response.ok() || crashes ? absl::OkStatus() : response.status();
}

std::string World::Get(const std::string& name, const std::string& path) {
  const absl::StatusOr<Program*> program = Find(name);
  if (!program.ok()) return {};
  HttpRequest request;
  request.target = path;
  const absl::StatusOr<HttpResponse> response =
      Http((*program)->admin, std::move(request), kHttpTimeout);
  return response.ok() ? response->body : std::string();
}

absl::StatusOr<ChangeResult> World::Change(ConfigChange change) {
  ConfigStore config(*store_);
  return RunOnNetwork(config.Apply(std::move(change)));
}

std::vector<absl::StatusOr<ChangeResult>> World::Race(std::vector<ConfigChange> changes) {
  std::vector<std::future<absl::StatusOr<ChangeResult>>> futures;
  for (ConfigChange& change : changes) {
    futures.push_back(
        std::async(std::launch::async, [this, &change] { return Change(std::move(change)); }));
  }
  std::vector<absl::StatusOr<ChangeResult>> results;
  for (auto& future : futures) results.push_back(future.get());
  return results;
}

int64_t World::PromptStarts(const std::string& engine, const std::string& prompt) {
  const std::string path = fmt::format("/admin/starts?seed={}", AnswerSeed(prompt));
  const absl::StatusOr<json::object> starts = ParseJsonObject(Get(engine, path));
  return starts.ok() ? GetInt(*starts, "starts") : 0;
}

std::string World::SendRaw(const std::string& node, const std::string& bytes,
                           double limit_seconds) {
  const absl::StatusOr<Program*> program = Find(node);
  if (!program.ok()) return {};
  asio::io_context context{1};
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                         (*program)->caller.port);
  socket.connect(endpoint, error);
  if (!error) asio::write(socket, asio::buffer(bytes), error);
  std::string answer;
  std::array<char, 4096> buffer;
  std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer),
                           [&](const boost::system::error_code& failure, size_t count) {
                             answer.append(buffer.data(), count);
                             if (!failure) read();
                           });
  };
  read();
  context.run_for(FromSeconds(limit_seconds));
  return answer;
}

void World::HoldConnection(const std::string& node, const std::string& bytes) {
  const absl::StatusOr<Program*> program = Find(node);
  if (!program.ok()) return;
  asio::io_context context{1};
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"),
                                         (*program)->caller.port);
  socket.open(asio::ip::tcp::v4(), error);
  // A small window fills soon.
  socket.set_option(asio::socket_base::receive_buffer_size(kHeldReceiveBytes), error);
  socket.connect(endpoint, error);
  if (error) return;
  asio::write(socket, asio::buffer(bytes), error);
  held_.push_back(socket.release());
}

std::vector<Endpoint> World::CallerEndpoints(const json::object& call) {
  std::vector<Endpoint> endpoints;
  const auto add = [this, &endpoints](const std::string& name) {
    const absl::StatusOr<Program*> program = Find(name);
    if (!program.ok()) return;
    // An engine is asked at its one port.
    const bool is_node = (*program)->caller.port != 0;
    endpoints.push_back(is_node ? (*program)->caller : (*program)->admin);
  };
  const json::array* names = GetArray(call, "to");
  if (names == nullptr) {
    add(GetString(call, "to"));
    return endpoints;
  }
  for (const json::value& name : *names) add(std::string(name.as_string()));
  return endpoints;
}

// The admin endpoints that go with CallerEndpoints(), for a balancer's readiness checks.
std::vector<Endpoint> World::AdminEndpoints(const std::vector<Endpoint>& callers) const {
  std::vector<Endpoint> admins;
  for (const Endpoint& caller : callers) {
    for (const auto& [name, program] : programs_) {
      if (program.caller == caller) admins.push_back(program.admin);
    }
  }
  return admins;
}

int World::Ask(const json::object& options) {
  CallerRequest call;
  call.targets = CallerEndpoints(options);
  call.api_key = GetString(options, "key", "test-key");
  call.service = GetString(options, "service", "assistant");
  call.class_name = GetString(options, "class", "default");
  call.model = GetString(options, "model", "model");
  call.prompt = GetString(options, "prompt", fmt::format("question {}", next_handle_));
  call.output_tokens = GetInt(options, "tokens", 10);
  call.idempotency_key = GetString(options, "idempotency_key");
  call.stream = GetBool(options, "stream", true);
  call.max_resumes = static_cast<int>(GetInt(options, "max_resumes", 3));
  call.hang_up_after_tokens = GetInt(options, "hang_up_after");
  call.ttft_target = FromSeconds(GetDouble(options, "ttft_target_ms", 1000) / 1e3);
  const int handle = next_handle_++;
  auto promise = std::make_shared<std::promise<CallerResult>>();
  asks_[handle] = promise->get_future();
  asio::co_spawn(context_, AskOnce(context_.get_executor(), std::move(call)),
                 [promise](const std::exception_ptr& failure, CallerResult result) {
                   if (!failure) promise->set_value(std::move(result));
                 });
  return handle;
}

std::optional<json::object> World::AskResult(int handle) {
  std::future<CallerResult>& future = asks_.at(handle);
  if (future.wait_for(seconds(0)) != std::future_status::ready) return std::nullopt;
  const CallerResult result = future.get();
  asks_.erase(handle);
  return json::object{
      {"status", result.http_status},      {"body", result.body},
      {"stream", result.stream},           {"completed", result.result.completed},
      {"correct", result.result.correct},  {"tokens", result.result.tokens},
      {"error", result.result.error_kind}, {"outcome", result.result.outcome},
      {"resumes", result.result.resumes},  {"ttft_ms", ToMillis(result.result.first_token)}};
}

int World::StartLoad(const Workload& workload, const json::object& options) {
  LoadOptions load;
  load.targets = CallerEndpoints(options);
  if (GetBool(options, "balanced")) load.readiness = AdminEndpoints(load.targets);
  load.api_keys = {GetString(options, "key", "test-key")};
  load.duration = FromSeconds(GetDouble(options, "seconds", 5));
  load.settle = FromSeconds(GetDouble(options, "settle", 60));
  load.seed = static_cast<uint64_t>(GetInt(options, "seed", 1));
  for (const auto& [name, program] : programs_) {
    const bool engine = program.arguments.size() > 1 && program.arguments[1] == "engine";
    if (engine) load.engines.push_back(program.admin);
  }
  const int handle = next_handle_++;
  loads_[handle] = std::async(std::launch::async, [workload, load] {
    absl::StatusOr<json::object> report = RunLoad(workload, load);
    return report.ok() ? std::move(*report) : json::object();
  });
  return handle;
}

std::optional<json::object> World::LoadResult(int handle) {
  std::future<json::object>& future = loads_.at(handle);
  if (future.wait_for(seconds(0)) != std::future_status::ready) return std::nullopt;
  json::object result = future.get();
  loads_.erase(handle);
  return result;
}

std::string World::Logs() const {
  std::string text;
  for (const auto& [name, program] : programs_) {
    std::ifstream file(fmt::format("{}/{}.log", log_folder_, name));
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(file, line)) lines.push_back(line);
    const size_t from = lines.size() > kLogLines ? lines.size() - kLogLines : 0;
    for (size_t i = from; i < lines.size(); ++i) {
      text += fmt::format("[{}] {}\n", name, lines[i]);
    }
  }
  return text;
}

}  // namespace cartsail::emulator
