-- A higher tier is never shed or preempted for a lower one: a burst of a low tier at three times
-- capacity, the top tier steady, one engine slowed, one owner killed.
local nodes = {"n1", "n2", "n3"}
local engines = {"e1", "e2", "e3"}
local flags = {["batch-limit"] = 8}
fleet{
  engines = {{id = "e1", flags = flags}, {id = "e2", flags = flags}, {id = "e3", flags = flags}},
  nodes = {{id = "n1", flags = {["initial-window"] = 8, ["max-window"] = 8}},
           {id = "n2", flags = {["initial-window"] = 8, ["max-window"] = 8}},
           {id = "n3", flags = {["initial-window"] = 8, ["max-window"] = 8}}},
  tree = {{"team/assistant/urgent", "tier", "0"}, {"team/assistant/urgent", "max_wait", "5s"},
          {"team/assistant/urgent", "ttft_target", "500ms"},
          {"team/assistant/bulk", "tier", "4"}, {"team/assistant/bulk", "max_wait", "3s"}},
}

-- Three engines of 8 slots serve about 40 of these bulk answers a second.
local handle = load{to = {"n1", "n2"}, seconds = 10, seed = 5, workload = {
  name = "tiers", model = "model", classes = {
    {name = "urgent", rate = 10, output_tokens_mean = 15, ttft_target_ms = 500,
     max_wait_ms = 5000},
    {name = "bulk", rate = 120, output_tokens_mean = 40, ttft_target_ms = 3000,
     max_wait_ms = 3000}}}}
wait_until(function() return total(engines, "accepted") > 100 end, 20, "the load")
faults("e2", {speed = 0.4})
wait_until(function() return total(engines, "accepted") > 250 end, 20, "the load to go on")
kill("n3")
local report = load_report(handle)
local urgent, bulk = report.classes.urgent, report.classes.bulk
local function shed(class)
  local count = 0
  for kind, number in pairs(class.errors) do
    if string.find(kind, "overloaded") or string.find(kind, "queue_timeout") then
      count = count + number
    end
  end
  return count
end
expect(shed(bulk) > 50, "there was more than could be served: " .. shed(bulk) .. " shed")
expect(shed(urgent) == 0, shed(urgent) .. " of the top tier shed")
expect(urgent.completed == urgent.requests,
       urgent.requests - urgent.completed .. " of the top tier not served")
expect(urgent.wrong_answers + bulk.wrong_answers == 0, "every answer is whole")
note(string.format("top tier: %d of %d, attainment %.3f; bulk: %d of %d served, %d shed",
                   urgent.completed, urgent.requests, urgent.attainment, bulk.completed,
                   bulk.requests, shed(bulk)))
