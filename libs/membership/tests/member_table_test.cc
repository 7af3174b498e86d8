#include "cartsail/membership/member_table.h"

#include <map>

#include "testing/criterion.h"

namespace cartsail {
namespace {

const TimePoint kStart = TimePoint(seconds(1000));

MemberTable MakeTable(const std::string& self = "n1", const std::string& zone = "z1") {
  return MemberTable({.self = self, .zone = zone}, kStart);
}

Test(members, a_listed_node_owns_nothing_before_its_first_heartbeat) {
  MemberTable table = MakeTable();
  Member listed;
  listed.id = "n2";
  listed.zone = "z1";
  table.SetListed({listed});
  for (int i = 0; i < 50; ++i) cr_assert(table.OwnerOf("e" + std::to_string(i), "z1") == "n1");
  cr_assert(table.Heard("n2", "z1", "a:1", false, kStart));
  int other = 0;
  for (int i = 0; i < 50; ++i) other += table.OwnerOf("e" + std::to_string(i), "z1") == "n2";
  cr_assert(other > 10 && other < 40);
}

Test(members, silence_makes_a_suspect_and_a_heartbeat_brings_it_back) {
  MemberTable table = MakeTable();
  table.Heard("n2", "z1", "a:1", false, kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 14; ++i) cr_assert(table.Tick(now += milliseconds(100)).empty());
  const uint64_t epoch = table.Epoch();
  std::vector<std::string> suspects;
  while (suspects.empty()) suspects = table.Tick(now += milliseconds(100));
  cr_assert(suspects == std::vector<std::string>{"n2"});
  cr_assert(now - kStart <= milliseconds(1700));
  cr_assert(table.Epoch() > epoch);
  cr_assert(table.LiveCount() == 1);
  cr_assert(table.Heard("n2", "z1", "a:1", false, now));
  cr_assert(table.LiveCount() == 2);
}

// With many peers heartbeats are rarer, so the timeout of a member follows its announced interval.
Test(members, the_timeout_follows_the_announced_interval) {
  cr_assert(HeartbeatInterval(milliseconds(250), 5) == milliseconds(250));
  cr_assert(HeartbeatInterval(milliseconds(250), 27) == milliseconds(1350));
  MemberTable table = MakeTable();
  table.Heard("n2", "z1", "a:1", false, kStart, milliseconds(875));
  TimePoint now = kStart;
  while (now < kStart + milliseconds(3400)) cr_assert(table.Tick(now += milliseconds(100)).empty());
  std::vector<std::string> suspects;
  while (suspects.empty()) suspects = table.Tick(now += milliseconds(100));
  cr_assert(now < kStart + milliseconds(3800));
}

// A process that was paused must not suspect all other members.
Test(members, after_a_pause_of_its_own_a_node_suspects_nobody) {
  MemberTable table = MakeTable();
  table.Heard("n2", "z1", "a:1", false, kStart);
  table.Tick(kStart + milliseconds(100));
  cr_assert(table.Tick(kStart + seconds(60)).empty());
  cr_assert(table.WasPaused());
  cr_assert(table.Tick(kStart + seconds(60) + milliseconds(100)).empty());
  cr_assert(!table.WasPaused());
}

Test(members, a_draining_node_gives_its_ownership_away) {
  MemberTable table = MakeTable();
  table.Heard("n2", "z1", "a:1", true, kStart);
  for (int i = 0; i < 20; ++i) cr_assert(table.OwnerOf("e" + std::to_string(i), "z1") == "n1");
  table.SetSelfDraining();
  cr_assert(table.OwnerOf("e1", "z1").empty());
}

Test(members, a_zone_without_nodes_is_owned_from_another) {
  MemberTable table = MakeTable("n1", "z1");
  cr_assert(table.OwnerOf("e1", "z9") == "n1");
}

// Draining one of ten nodes moves only the engines that it owned.
Test(members, ownership_moves_little) {
  MemberTable table = MakeTable("n0");
  for (int i = 1; i < 10; ++i) table.Heard("n" + std::to_string(i), "z1", "a:1", false, kStart);
  std::map<std::string, std::string> before;
  for (int i = 0; i < 200; ++i) {
    const std::string engine = "e" + std::to_string(i);
    before[engine] = table.OwnerOf(engine, "z1");
  }
  table.Heard("n5", "z1", "a:1", true, kStart);
  for (const auto& [engine, owner] : before) {
    if (owner != "n5") cr_assert(table.OwnerOf(engine, "z1") == owner);
  }
}

Test(members, at_a_common_restart_only_the_first_have_the_first_ranks) {
  int first = 0;
  for (int self = 0; self < 20; ++self) {
    MemberTable table = MakeTable("n" + std::to_string(self));
    std::vector<Member> listed;
    for (int i = 0; i < 20; ++i) {
      Member member;
      member.id = "n" + std::to_string(i);
      member.zone = "z1";
      listed.push_back(member);
    }
    table.SetListed(listed);
    first += table.OwnRank("relay") < 2;
  }
  cr_assert(first == 2, "%d", first);
}

}  // namespace
}  // namespace cartsail
