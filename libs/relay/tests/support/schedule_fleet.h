// A fleet of a few nodes beside one store in random order of events: changes of the document and of
// the back ends, updates, notices and fetches between nodes that are late, lost or repeated, nodes
// that start later, stand still or are killed, a store that loses its history and calls that fail.
// Says whether nodes held what they claimed, and had the newest document in time afterwards.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "catalog/catalog_sync.h"
#include "history_store.h"
#include "version_codec.h"

namespace cartsail::testing {

// What is wrong with the nodes, as a control.
enum class Flaw : uint8_t {
  kNone,
  kPassesOverPeersRevision,    // sees no change up to the revision that a peer told for back ends
  kTakesPeersDocumentRevision  // counts as its own what a peer tells of a document that it lacks
};

class ScheduleFleet {
 public:
  ScheduleFleet(boost::asio::io_context& io, uint64_t seed, Flaw flaw);
  ~ScheduleFleet();
  ScheduleFleet(const ScheduleFleet&) = delete;
  ScheduleFleet& operator=(const ScheduleFleet&) = delete;

  // Lets something happen, or nothing, and checks what the nodes claim. To be called every few
  // milliseconds.
  void Step();

  // Ends all faults; nothing changes any more. Dead nodes are known as such.
  void Heal();

  // Nodes that are up and lack the newest document.
  size_t NodesBehind() const;

  // The first claim that a node could not hold; empty if there was none.
  const std::string& BrokenClaim() const { return broken_claim_; }

 private:
  struct Node;
  struct Message {
    TimePoint due;
    Node* to;
    std::function<void(Node&)> deliver;
  };

  struct Document {
    int64_t revision;
    int64_t version;
    TimePoint written;
  };

  bool Draw(double share) { return std::bernoulli_distribution(share)(random_); }
  Node& AnyNode();
  size_t NodesUp() const;
  void StartNode(Node& node);
  void StrikeOrChange();
  void Send(Node* to, double loss_share, std::function<void(Node&)> deliver);
  void SendToOthers(Node& from, double loss_share, const std::function<void(Node&)>& deliver);
  void Fetch(Node& by, Node& from);
  void FetchAtRandom();
  void SendUpdate(Node& from, StoreUpdate update);
  void SendNotices(Node& from);
  void DeliverDue();
  void CheckClaims(Node& node);
  void WriteDocument(int64_t version);
  int64_t NewestVersionAt(int64_t revision) const;
  int64_t NewestVersionBefore(TimePoint then) const;
  bool KnowsAllBackEnds(Node& node, int64_t revision) const;

  boost::asio::io_context& io_;
  std::mt19937_64 random_;
  Flaw flaw_;
  VersionCodec codec_;
  History history_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::list<Message> messages_;
  std::vector<Document> documents_;
  std::vector<std::pair<int64_t, std::string>> back_ends_;  // revision and id of each back end
  std::string broken_claim_;
  double update_loss_ = 0;  // shares
  double notice_loss_ = 0;
  double fetch_loss_ = 0;
  bool is_healed_ = false;
};

}  // namespace cartsail::testing
