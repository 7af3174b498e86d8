-- A back end that is leaving receives no new work after a few seconds: by its own refusal while the
-- platform is out, and by the lagging machine list alone.
local nodes = {"n1", "n2"}
fleet{
  platform = {flags = {["machine-lag"] = "1s"}},
  engines = {{id = "e1"}, {id = "e2"}, {id = "e3"}},
  nodes = {{id = "n1"}, {id = "n2"}},
}
local handle = load{to = nodes, seconds = 12, seed = 3, workload = {name = "leaving",
  model = "model", classes = {{name = "default", rate = 60, output_tokens_mean = 10}}}}
wait_until(function() return stats("e1").accepted > 30 and stats("e2").accepted > 30 end, 20,
           "the load")

-- e1 refuses new work while the platform, and so the machine list, is out.
faults("platform", {outage = "refuse"})
faults("e1", {leaving = true})
local left = clock()
wait_until(function() return stats("e1").ms_since_last_start > 2000 end, 10, "e1 to be left alone")
local last_start = clock() - left - stats("e1").ms_since_last_start / 1000
expect(last_start < 3, string.format("last start at e1 %.2f s after it was leaving", last_start))
expect(stats("e1").refused <= 2 * #nodes, "asked in vain " .. stats("e1").refused .. " times")
faults("platform", {outage = "none"})

-- e2 says nothing itself; only the machine list shows that it leaves, a second late.
wait_until(function() return metric("n1", "platform_reachable") == 1 end, 10, "the platform")
machine{id = "e2", kind = "engine", name = "model", state = "leaving",
        address = "127.0.0.1:1"}
left = clock()
wait_until(function() return stats("e2").ms_since_last_start > 2000 end, 15, "e2 to be left alone")
last_start = clock() - left - stats("e2").ms_since_last_start / 1000
expect(last_start < 4, string.format("last start at e2 %.2f s after the list was told", last_start))
local class = load_report(handle).classes.default
expect(class.completed == class.requests, "all requests were served elsewhere: " ..
       class.completed .. " of " .. class.requests)
note(string.format("last start at e2 %.2f s after the list was told", last_start))
