-- A planned stop cuts nothing: SIGTERM to a node under load, then to an engine, then a rolling
-- restart of all nodes.
local nodes = {"n1", "n2", "n3"}
fleet{
  engines = {{id = "e1"}, {id = "e2"}, {id = "e3"}},
  nodes = {{id = "n1", zone = "z1"}, {id = "n2", zone = "z2"}, {id = "n3", zone = "z3"}},
  tree = {{"team/assistant/answer", "tier", "1"}, {"team/assistant/answer", "max_wait", "20s"}},
}

local workload = {name = "stop", model = "model", classes = {
  {name = "answer", rate = 40, output_tokens_mean = 40, max_wait_ms = 20000}}}

local function under_load(seconds, seed, action)
  local handle = load{to = nodes, workload = workload, seconds = seconds, seed = seed,
                      balanced = true}
  wait_until(function() return total({"e1", "e2", "e3"}, "accepted") > 20 end, 20, "the load")
  action()
  local class = load_report(handle).classes.answer
  expect(class.completed == class.requests,
         class.requests - class.completed .. " of " .. class.requests ..
         " were cut or refused: " .. errors_of(class))
  expect(class.wrong_answers == 0, "every answer is whole")
  expect(class.resumes == 0, "no stream had to be resumed")
  return class
end

-- A node.
under_load(4, 1, function()
  stop("n1")
  expect(await_exit("n1", 30) == 0, "the node ends by itself with code 0")
end)
restart("n1")
wait_until(function() return ready("n1") end, 20, "n1")

-- An engine: it refuses new work, finishes what runs and ends.
under_load(4, 2, function()
  stop("e1")
  expect(await_exit("e1", 30) == 0, "the engine ends with code 0")
end)
machine{id = "e1", remove = true, at_once = true}

-- All nodes, one after the other.
local class = under_load(12, 3, function()
  for _, id in ipairs(nodes) do
    stop(id)
    expect(await_exit(id, 30) == 0, id .. " ends with code 0")
    restart(id)
    wait_until(function() return ready(id) and live_members(status(id)) == 2 end, 20, id)
  end
end)
note("rolling restart under load: " .. class.requests .. " requests, none cut")
