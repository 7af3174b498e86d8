// What a scenario acts on: a platform, engines, services and nodes as separate processes, relays in
// their links, callers, operators. All calls come from the scenario's one thread; network work runs
// on a thread of its own.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cartsail/base/json.h"
#include "cartsail/operations/config_store.h"
#include "load.h"
#include "load_client.h"
#include "process.h"
#include "relay.h"

namespace cartsail::emulator {

class World {
 public:
  // `bin` is the folder of the programs; logs go to a folder of their own.
  World(std::string bin, std::string log_folder);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  absl::Status StartPlatform(const json::object& options);
  // `kind`: "engine" or "service".
  absl::Status StartBackEnd(const std::string& kind, const json::object& options);
  absl::Status StartNode(const json::object& options);

  absl::Status Signal(const std::string& name, int signal);
  // Starts a process again as it was started before.
  absl::Status Restart(const std::string& name);
  // Waits for the end of a process; its exit code.
  absl::StatusOr<int> AwaitExit(const std::string& name, double seconds);
  bool IsRunning(const std::string& name);
  // The process id; 0 when there is no such process.
  int PidOf(const std::string& name);

  absl::Status SetLink(const std::string& relay, RelayMode mode);
  absl::Status SetLinkDelay(const std::string& relay, Duration delay);

  // Changes an entry of the machine list.
  absl::Status SetMachine(const json::object& machine);
  // POST /admin/faults of the platform, an engine or a service.
  absl::Status SetFaults(const std::string& name, const json::object& faults);
  // GET of an admin path; "" when there is no answer.
  std::string Get(const std::string& name, const std::string& path);

  // How often `prompt` was started at an engine.
  int64_t PromptStarts(const std::string& engine, const std::string& prompt);

  absl::StatusOr<ChangeResult> Change(ConfigChange change);
  // Two operators at the same moment.
  std::vector<absl::StatusOr<ChangeResult>> Race(std::vector<ConfigChange> changes);

  // Bytes as sent to a node's port for callers; the answer until the node closes or is silent.
  std::string SendRaw(const std::string& node, const std::string& bytes, double seconds);

  // Sends `bytes` and keeps the connection open without ever reading from it.
  void HoldConnection(const std::string& node, const std::string& bytes);

  int Ask(const json::object& call);  // a handle
  // The result of a call; nullopt while it goes on.
  std::optional<json::object> AskResult(int handle);
  int StartLoad(const Workload& workload, const json::object& options);
  std::optional<json::object> LoadResult(int handle);

  // The last lines of every process's log.
  std::string Logs() const;

 private:
  struct Program {
    std::vector<std::string> arguments;
    Endpoint admin;   // where /admin or /status is served
    Endpoint caller;  // nodes: for callers
    std::unique_ptr<ChildProcess> process;
  };

  absl::Status Launch(const std::string& name, Program program, const std::string& ready_path);
  absl::Status AwaitAnswer(const Endpoint& endpoint, const std::string& path);
  absl::StatusOr<HttpResponse> Http(Endpoint endpoint, HttpRequest request, Duration timeout);
  absl::Status Register(const std::string& kind, const json::object& options,
                        const Endpoint& address);
  Endpoint AddRelay(const std::string& name, Endpoint target);
  absl::StatusOr<Program*> Find(const std::string& name);
  std::vector<Endpoint> CallerEndpoints(const json::object& call);
  std::vector<Endpoint> AdminEndpoints(const std::vector<Endpoint>& callers) const;

  // Runs a coroutine on the network thread and waits for its value.
  template <typename T>
  T RunOnNetwork(boost::asio::awaitable<T> work);

  std::string bin_;
  std::string log_folder_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::thread network_;
  Endpoint platform_;
  std::unique_ptr<KeyValueStore> store_;
  std::map<std::string, Program> programs_;
  std::map<std::string, std::unique_ptr<Relay>> relays_;
  std::map<int, std::future<CallerResult>> asks_;
  std::map<int, std::future<json::object>> loads_;
  int next_handle_ = 1;
  std::vector<int> held_;  // file descriptors
};

}  // namespace cartsail::emulator
