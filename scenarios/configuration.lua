-- An accepted configuration is in force everywhere within seconds and never reverts: racing
-- operators, a lost reply, a frozen node, a cut node, a restart during an outage, stale reads.
local nodes = {"n1", "n2", "n3"}
fleet{
  engines = {{id = "e1"}},
  nodes = {{id = "n1", zone = "z1"}, {id = "n2", zone = "z2"}, {id = "n3", zone = "z3"}},
}

-- The highest revision seen in force at each node; it may never go down.
local seen = {}
local function observe()
  for _, id in ipairs(nodes) do
    local revision = status(id).revision
    if revision and ready(id) then
      expect(revision >= (seen[id] or 0), id .. " went from revision " .. (seen[id] or 0) ..
             " to " .. revision)
      seen[id] = revision
    end
  end
end

local slowest = 0
local function everywhere(revision, limit, text)
  local start = clock()
  wait_until(function() observe() return in_force(nodes, revision) end, limit, text)
  local took = clock() - start
  if took > slowest then slowest = took end
  return took
end

local function set(value, more)
  local c = {edits = {{"team/assistant/default", "max_wait", value}}}
  for k, v in pairs(more or {}) do c[k] = v end
  return change(c)
end

-- Plain changes.
for i = 1, 10 do
  local made = set(i .. "s")
  expect(made.revision, "written: " .. (made.message or ""))
  expect(everywhere(made.revision, 4, "a change") < 4, "in force within 4 s")
end

-- Two operators at the same moment: one wins, the other gets a conflict that names the difference.
for i = 1, 10 do
  local base = status("n1").revision
  local results = race{
    {who = "ann", if_revision = base, edits = {{"team/assistant/default", "tier", "1"}}},
    {who = "bob", if_revision = base, edits = {{"team/assistant/default", "tier", "4"}}},
  }
  local won = (results[1].revision and 1 or 0) + (results[2].revision and 1 or 0)
  expect(won == 1, "one of two operators wins, not " .. won)
  local loser = results[1].revision and results[2] or results[1]
  local winner = results[1].revision and results[1] or results[2]
  expect(loser.kind == "conflict", "the other gets a conflict: " .. tostring(loser.kind))
  expect(string.find(loser.message, "tier") and string.find(loser.message, "by"),
         "which names the difference")
  everywhere(winner.revision, 4, "the winner's change")
end

-- The reply of the write is lost: it took effect once and is reported as done.
local before = status("n1").revision
faults("platform", {lose_replies = 2})
local lost = set("21s")
faults("platform", {lose_replies = 0})
expect(lost.revision == before + 1, "done once: " .. tostring(lost.revision or lost.message))
everywhere(lost.revision, 4, "the change with the lost reply")

-- A node frozen during the change.
freeze("n2")
local frozen = set("22s")
wait_until(function() return in_force({"n1", "n3"}, frozen.revision) end, 4, "the others")
thaw("n2")
everywhere(frozen.revision, 8, "the thawed node")

-- A node cut off from platform and peers during the change.
for _, link in ipairs{"n3-platform", "n3-peer"} do cut(link) end
local cut_off = set("23s")
wait_until(function() return in_force({"n1", "n2"}, cut_off.revision) end, 4, "the others")
for _, link in ipairs{"n3-platform", "n3-peer"} do heal(link) end
everywhere(cut_off.revision, 8, "the healed node")

-- A node that sees no platform gets changes from its peers.
cut("n3-platform")
local relayed = set("24s")
expect(everywhere(relayed.revision, 4, "the change through peers") < 4, "within 4 s")
heal("n3-platform")

-- A restart while the platform is out: the newest revision comes from the peers.
faults("platform", {outage = "refuse"})
restart("n1")
wait_until(function() return ready("n1") end, 15, "n1 to be ready during the outage")
observe()
expect(status("n1").revision == relayed.revision, "with the newest revision")
faults("platform", {outage = "none"})

-- The platform answers from an old state: nobody goes back, not even a starting node.
faults("platform", {stale_reads = true})
local newer = set("25s")
wait_until(function() observe() return in_force({"n1", "n2", "n3"}, newer.revision) end, 10,
           "the change through watches")
faults("platform", {stale_watches = true})
cut("n2-peer")
restart("n2")
local silent_until = clock() + 1
wait_until(function() observe() return clock() > silent_until end, 5)
heal("n2-peer")
wait_until(function() return ready("n2") end, 15, "n2 to be ready")
observe()
expect(status("n2").revision == newer.revision, "n2 started with revision " ..
       status("n2").revision .. " instead of " .. newer.revision)
faults("platform", {stale_reads = false, stale_watches = false})
everywhere(newer.revision, 4, "the end")
note(string.format("slowest change in force everywhere after %.0f ms", slowest * 1000))
