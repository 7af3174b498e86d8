-- What control costs a node: processor time, bytes and messages, idle and per request.
-- NODES, ENGINES and RATES (requests per second over all nodes, comma-separated) come from the
-- environment. Not a test: prints one line a rate.
local count = tonumber(os.getenv("NODES") or "8")
local engine_count = tonumber(os.getenv("ENGINES") or "8")
local rates = os.getenv("RATES") or "0,200"
local engines, nodes, names = {}, {}, {}
for i = 1, engine_count do
  engines[i] = {id = "e" .. i, direct = true, flags = {["base-step"] = "2ms", ["sequence-step"] = "0.05ms",
                                        ["prefill-rate"] = 10000000, ["batch-limit"] = 64}}
end
for i = 1, count do
  names[i] = "n" .. i
  nodes[i] = {id = names[i], flags = {["traffic-threads"] = 1, ["initial-window"] = 64,
                                      ["max-window"] = 64}}
end
fleet{engines = engines, nodes = nodes}

local function sums()
  local s = {cpu = 0, sent = 0, messages = 0, requests = 0, calls = 0}
  for _, name in ipairs(names) do
    s.cpu = s.cpu + metric(name, "control_cpu_microseconds")
    s.sent = s.sent + metric(name, "peer_bytes_sent_total")
    s.messages = s.messages + metric(name, "peer_messages_sent_total")
    s.requests = s.requests + metric(name, "requests_total")
    s.calls = s.calls + metric(name, "platform_calls_total")
  end
  return s
end

local function idle(seconds)
  local limit = clock() + seconds
  while clock() < limit do pause() end
end

for rate in string.gmatch(rates, "[%d.]+") do
  idle(2)
  local before, start = sums(), clock()
  if tonumber(rate) > 0 then
    load_report(load{to = names, seconds = 8, seed = 1, settle = 5, workload = {name = "control",
      model = "model", classes = {{name = "default", rate = tonumber(rate),
                                   output_tokens_mean = 8}}}})
  else
    idle(8)
  end
  idle(1.2)  -- the processor time is read once a second
  local after, took = sums(), clock() - start
  local per = function(name) return (after[name] - before[name]) / took / count end
  note(string.format(
    "nodes %d engines %d rate %s: per node %.0f us/s processor, %.0f bytes/s sent, " ..
    "%.1f messages/s, %.2f requests/s, %.2f platform calls/s", count, engine_count, rate,
    per("cpu"), per("sent"), per("messages"), per("requests"), per("calls")))
end
