-- What a node adds to the time to the first token, and how many short streams it carries. Callers
-- ask an engine directly and through one node, in turns, in one run. THREADS and RATES come from the
-- environment. Not a test: prints one line a measurement.
local threads = tonumber(os.getenv("THREADS") or "2")
local engines, ids = {}, {}
for i = 1, 4 do
  ids[i] = "e" .. i
  engines[i] = {id = ids[i], direct = true, flags = {["base-step"] = "1ms", ["sequence-step"] = "0.001ms",
                                      ["prefill-rate"] = 10000000, ["batch-limit"] = 512}}
end
fleet{engines = engines, nodes = {{id = "n1", flags = {["traffic-threads"] = threads,
      ["initial-window"] = 512, ["max-window"] = 512}}}}

local function run(to, rate, seed, seconds)
  local class = load_report(load{to = to, seconds = seconds, seed = seed, settle = 10, workload = {
    name = "overhead", model = "model", classes = {{name = "default", rate = rate,
    output_tokens_mean = 4, output_sigma = 0.1, prompt_tokens = 20}}}}).classes.default
  return class
end

if os.getenv("RATES") then
  for rate in string.gmatch(os.getenv("RATES"), "[%d.]+") do
    local class = run({"n1"}, tonumber(rate), 1, 5)
    note(string.format("threads %d, %s short streams/s offered: %d of %d completed, first token " ..
                       "p50 %.2f ms, p95 %.2f ms", threads, rate, class.completed, class.requests,
                       class.ttft_ms_p50, class.ttft_ms_p95))
  end
else
  for round = 1, 5 do
    local direct = run({ids[1]}, 100, round, 4)
    local through = run({"n1"}, 100, round, 4)
    note(string.format("round %d, 100/s: direct p50 %.2f ms p95 %.2f ms; through a node p50 %.2f " ..
                       "ms p95 %.2f ms; added p50 %.2f ms", round, direct.ttft_ms_p50,
                       direct.ttft_ms_p95, through.ttft_ms_p50, through.ttft_ms_p95,
                       through.ttft_ms_p50 - direct.ttft_ms_p50))
  end
end
