-- Every class is served: under a sustained overload of higher tiers the lowest keeps its share, and
-- nobody waits without bound.
local engines = {"e1", "e2"}
local window = {["initial-window"] = 4, ["max-window"] = 4}
fleet{
  engines = {{id = "e1", flags = {["batch-limit"] = 4}}, {id = "e2", flags = {["batch-limit"] = 4}}},
  nodes = {{id = "n1", flags = window}, {id = "n2", flags = window}},
  tree = {{"root", "tier_shares", "0.05,0.05,0.05,0.05,0.05,0.05"},
          {"team/assistant/busy", "tier", "1"}, {"team/assistant/busy", "max_wait", "2s"},
          {"team/assistant/tagging", "tier", "5"}, {"team/assistant/tagging", "max_wait", "6s"}},
}
local function run(seconds, seed, class)
  return load{to = {"n1", "n2"}, seconds = seconds, seed = seed, workload = {
    name = "starve", model = "model", classes = {class}}}
end
-- The lowest class stops early enough that all its requests end under the overload.
local flood = run(18, 1, {name = "busy", rate = 120, output_tokens_mean = 20})
wait_until(function() return stats("e1").accepted > 20 end, 10, "the overload")
local low = run(10, 2, {name = "tagging", rate = 2, output_tokens_mean = 10,
                        ttft_target_ms = 6000})
local tagging = load_report(low).classes.tagging
expect(not load_result(flood), "the overload lasts longer than the lowest class")
local busy = load_report(flood).classes.busy
expect(busy.completed < busy.requests * 0.8, "the higher tier alone was more than could be served")
expect(tagging.completed > tagging.requests * 0.3,
       "the lowest tier was served: " .. tagging.completed .. " of " .. tagging.requests)
expect(tagging.ttft_ms_p99 < 7000, "and waited no longer than its class allows")
note(string.format("overloaded tier 1: %d of %d served; tier 5: %d of %d, first token p99 %.1f s",
                   busy.completed, busy.requests, tagging.completed, tagging.requests,
                   tagging.ttft_ms_p99 / 1000))
