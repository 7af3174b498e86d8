// Metrics of this process: counters and gauges. This table is the single place that defines their
// names and help texts; docs/OPERATIONS.md repeats it, and a test compares the two.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace cartsail {

// X(name, kind, help): `kind` is `counter` (only increases) or `gauge`.
#define CARTSAIL_COUNTERS(X)                                                                       \
  X(requests_total, counter, "Requests received from callers")                                     \
  X(requests_completed_total, counter, "Requests answered completely")                             \
  X(requests_failed_answer_total, counter, "Requests answered with a back end's failure")          \
  X(requests_not_run_total, counter, "Requests answered with outcome not_run")                     \
  X(requests_unknown_total, counter, "Requests answered with outcome unknown")                     \
  X(requests_partial_total, counter, "Requests answered with outcome partial")                     \
  X(requests_in_flight, gauge, "Requests being handled now")                                       \
  X(requests_malformed_total, counter, "Requests refused as malformed or too large")               \
  X(held_bytes, gauge, "Memory held for requests and answers that callers have not taken yet")     \
  X(answers_cut_for_memory_total, counter, "Answers given up since their callers left them alone") \
  X(memory_refusals_total, counter, "Requests refused before their body was read, for memory")     \
  X(callers_gone_total, counter, "Callers that disconnected before the end of their answer")       \
  X(streams_resumed_total, counter, "Streams resumed by a caller")                                 \
  X(answers_broken_off_total, counter,                                                             \
    "Answers that engines broke off, by the judgement of their end")                               \
  X(answers_ended_by_connection_total, counter,                                                    \
    "Answers that only the end of their connection ended, taken for whole")                        \
  X(continuations_total, counter, "Cut answers continued on another engine")                       \
  X(retries_total, counter, "Requests tried again on another back end")                            \
  X(silent_attempts_total, counter, "Attempts at back ends that fell silent")                      \
  X(silent_attempts_moved_total, counter, "Of these, attempts from which another took over")       \
  X(retries_denied_total, counter, "Retries refused by the retry budget")                          \
  X(retries_borrowed_total, counter, "Retries taken out of another node's budget")                 \
  X(stream_take_ups_known_total, counter, "Streams taken up whose version was known")              \
  X(stream_take_ups_unknown_total, counter, "Streams taken up and refused: version not known")     \
  X(stream_take_ups_gone_total, counter, "Streams taken up and refused: no engine of the version") \
  X(streams_not_told_total, counter,                                                               \
    "Streams that began before another node had kept their version")                               \
  X(stream_saves_failed_total, counter, "Writes of begun streams that the store did not take")     \
  X(streams_kept, gauge, "Begun streams that this node keeps for others")                          \
  X(retries_lent_total, counter, "Retries of other nodes taken out of this one's budget")          \
  X(retry_extra_held, gauge, "1 if this node gives out the retries that no request pays for")      \
  X(tokens_delivered_total, counter, "Tokens passed on to callers")                                \
  X(engine_cancels_total, counter, "Streams cancelled at an engine")                               \
  X(grants_total, counter, "Slots granted by this node as owner")                                  \
  X(sheds_total, counter, "Requests given up by this node as owner")                               \
  X(queue_timeouts_total, counter, "Requests that waited longer than their class allows")          \
  X(preemptions_total, counter, "Running requests preempted by this node as owner")                \
  X(acquire_failovers_total, counter, "Waiting requests moved because their owner was lost")       \
  X(grants_announced_total, counter, "Running grants announced to a new owner")                    \
  X(grants_adopted_total, counter, "Running grants taken over from an earlier owner")              \
  X(claims_won_total, counter, "Idempotency keys claimed by this node")                            \
  X(claims_lost_total, counter, "Idempotency keys that were already claimed")                      \
  X(claims_undecided_total, counter, "Claims given up because the platform did not answer")        \
  X(claim_batches_total, counter, "Claim transactions sent to the platform")                       \
  X(platform_calls_total, counter, "Calls made to the platform's key-value service")               \
  X(platform_errors_total, counter, "Platform calls that failed or timed out")                     \
  X(platform_reachable, gauge, "1 if the last platform call succeeded")                            \
  X(config_revision, gauge, "Configuration revision in force")                                     \
  X(config_stale_total, counter, "Configurations refused because they were older")                 \
  X(document_behind_total, counter, "Newer routing documents that the node knew of and lacked")    \
  X(document_reads_total, counter,                                                                 \
    "Reads of the routing document, since no peer handed over a newer one")                        \
  X(config_invalid_total, counter, "Configuration documents refused as invalid")                   \
  X(members_live, gauge, "Nodes this node believes live, itself included")                         \
  X(members_suspected_total, counter, "Times a member became suspected")                           \
  X(engines_owned, gauge, "Engines this node owns")                                                \
  X(peer_messages_sent_total, counter, "Messages sent to other nodes")                             \
  X(peer_bytes_sent_total, counter, "Bytes sent to other nodes")                                   \
  X(peer_gossip_bytes_sent_total, counter, "Of these: about which nodes are live")                 \
  X(peer_digest_bytes_sent_total, counter, "Of these: loads told to coordinators")                 \
  X(peer_placement_bytes_sent_total, counter, "Of these: questions, answers and progress")         \
  X(peer_document_bytes_sent_total, counter, "Of these: notices of new documents")                 \
  X(peer_update_bytes_sent_total, counter, "Of these: what the store told its readers")            \
  X(peer_far_bytes_sent_total, counter, "Bytes sent to nodes in other zones")                      \
  X(catalog_bytes_sent_total, counter, "Bytes of catalogs handed to other nodes")                  \
  X(peer_bytes_received_total, counter, "Bytes received from other nodes")                         \
  X(standstills_total, counter, "Times that this process stood still for over half a second")      \
  X(waits_for_news_total, counter,                                                                 \
    "Waits of requests for a list of back ends that is not too old")                               \
  X(peer_messages_invalid_total, counter, "Messages at the nodes' port that are none of a node")   \
  X(control_cpu_microseconds, gauge, "Processor time used by the control thread")                  \
  X(backend_connects_total, counter, "New connections made to back ends")                          \
  X(backend_connects_failed_total, counter, "Connections to back ends that failed")                \
  X(paths_cut_total, counter, "Own paths to back ends found cut, as another node reached them")    \
  X(paths_regained_total, counter, "Own paths to back ends that came back")                        \
  X(paths_cut, gauge, "Back ends that this node reaches over other nodes only")                    \
  X(bridges_opened_total, counter, "Connections to back ends over another node")                   \
  X(bridges_failed_total, counter, "Other nodes asked in vain for a connection to a back end")     \
  X(bridged_requests_total, counter, "Requests of other nodes passed on to back ends")             \
  X(bridges_in_use, gauge, "Requests of other nodes that are being passed on")                     \
  X(backend_refusals_total, counter, "Requests that a back end said it did not run")               \
  X(backend_backoffs_total, counter, "Times a back end began to want no request from this node")   \
  X(backoff_refusals_total, counter, "Requests refused because all back ends wanted none")         \
  X(strikes_total, counter, "Requests that were at a back end when it ended without notice")       \
  X(quarantines_total, counter, "Requests that are kept from back ends, as back ends end by them") \
  X(quarantines_lifted_total, counter, "Of these: found innocent, or taken back")                  \
  X(quarantine_refusals_total, counter, "Requests refused since they are kept from back ends")     \
  X(requests_quarantined, gauge, "Different requests that are kept from back ends")                \
  X(backends_known, gauge, "Back ends in the catalog, leaving ones included")                      \
  X(backends_invalid_total, counter, "Entries of back ends that could not be read")                \
  X(backends_invalid_unlogged_total, counter, "Of these: without a line in the log")               \
  X(zones_drained, gauge, "Zones that operators have drained")                                     \
  X(drained_requests, gauge, "Requests running at back ends of drained zones")                     \
  X(drain_alarms_total, counter, "Times a drain left too little room for a service")               \
  X(catalog_fetches_total, counter, "Catalogs fetched from other nodes")                           \
  X(catalog_fetches_failed_total, counter, "Catalogs that another node did not hand over")         \
  X(placements_asked_total, counter, "Requests placed by the coordinator of their service")        \
  X(placements_own_total, counter, "Requests that this node placed itself")                        \
  X(placements_for_peers_total, counter, "Requests of other nodes that this node placed")          \
  X(requests_followed, gauge, "Running requests of other nodes that this node placed")             \
  X(cold_placements_total, counter, "Requests that this node placed at cold back ends")            \
  X(limited_placements_total, counter, "Requests that this node placed at limited back ends")      \
  X(metered_refusals_total, counter, "Requests refused as only cold or limited ones were left")    \
  X(warmth_questions_total, counter, "Questions to lost back ends how long they stay cold")        \
  X(warmth_told_total, counter, "Answers to them that settled a spell")                            \
  X(rate_limits_named_total, counter, "Times a back end named a rate or another one")              \
  X(brittle_named_total, counter, "Times a back end named how many it bears to turn away")         \
  X(cache_inventories_total, counter, "Engines that told which parts of prompts they hold")        \
  X(cache_inventories_failed_total, counter, "Engines that were asked in vain")                    \
  X(coordinator_losses_total, counter, "Times a coordinator did not answer")                       \
  X(catalog_reader, gauge, "1 if this node reads the store for the others")                        \
  X(config_age_milliseconds, gauge, "Time since the store last confirmed the configuration")       \
  X(usage_windows_reported_total, counter, "Windows of usage that the platform accepted")          \
  X(usage_windows_missed_total, counter, "Windows of usage that this holder did not report")       \
  X(usage_late_requests_total, counter, "Requests counted after their window was reported")        \
  X(engine_orders_total, counter, "Orders of engines given to the platform")                       \
  X(engine_orders_failed_total, counter, "Of these: refused or without an answer")                 \
  X(residency_refusals_total, counter, "Requests refused for their data residency")                \
  X(log_lines_total, counter, "Log lines written")                                                 \
  X(log_lines_dropped_total, counter, "Log lines dropped to keep the log bounded")                 \
  X(ready, gauge, "1 if this node asks the balancer for traffic")

// A counter or gauge of the table above. Thread-safe.
struct Counter {
  std::atomic<int64_t> value{0};
  void Add(int64_t amount = 1) { value.fetch_add(amount, std::memory_order_relaxed); }
  void Set(int64_t amount) { value.store(amount, std::memory_order_relaxed); }
  int64_t Get() const { return value.load(std::memory_order_relaxed); }
};

struct Counters {
#define CARTSAIL_DECLARE_COUNTER(name, kind, help) Counter name;
  CARTSAIL_COUNTERS(CARTSAIL_DECLARE_COUNTER)
#undef CARTSAIL_DECLARE_COUNTER
};

// The metrics of this process. Thread-safe.
Counters& GlobalCounters();

// Renders all metrics in the Prometheus text exposition format, with the prefix `cartsail_`.
std::string RenderCounters(const Counters& counters);

}  // namespace cartsail
