-- "Not run" is true: whatever breaks at whatever point, a caller that is told `not_run` was never
-- started at an engine, and a request that was started is never called `not_run`.
fleet{
  engines = {{id = "e1"}},
  nodes = {{id = "n1"}, {id = "n2"}},
  tree = {{"team/assistant/payment", "repeatable", "false"},
          {"team/assistant/payment", "max_wait", "2s"},
          {"team/assistant/payment", "deadline", "4s"},
          {"team/assistant/note", "max_wait", "2s"},
          {"team/assistant/note", "deadline", "4s"}},
}

local number = 0
local function try(class, text)
  number = number + 1
  local prompt = text .. " " .. number
  local r = answer(ask{to = "n1", class = class, prompt = prompt, tokens = 12, max_resumes = 0,
                       idempotency_key = class == "payment" and prompt or nil}, 30)
  r.starts = prompt_starts("e1", prompt)
  r.prompt = prompt
  if r.outcome == "not_run" then expect(r.starts == 0, text .. ": told not_run but started") end
  if r.starts == 0 and not r.completed then
    expect(r.outcome ~= "partial", text .. ": nothing was started, so nothing is partial")
  end
  return r
end

-- Before the connection: refused by the network.
cut("e1")
for _, class in ipairs{"payment", "note"} do
  local r = try(class, "no connection")
  expect(r.outcome == "not_run" and r.starts == 0, class .. ": " .. r.error .. "/" .. r.outcome)
end
heal("e1")

-- Refused by the engine itself.
faults("e1", {refuse = true})
local refused = try("payment", "refused")
expect(refused.outcome == "not_run" and refused.starts == 0, "refused: " .. refused.outcome)
faults("e1", {refuse = false})
wait_until(function() return try("note", "healthy again").completed end, 20, "the engine")

-- After the request was sent, before any answer: it ran, and nobody may say otherwise.
faults("e1", {drop_before_reply = 1})
local sent = try("payment", "dropped before the reply")
expect(sent.starts == 1 and sent.outcome == "unknown", "dropped: " .. sent.outcome)
wait_until(function() return try("note", "healthy again").completed end, 20, "the engine")

-- In the middle of the answer.
faults("e1", {drop_after_tokens = 4})
local partial = try("payment", "cut in the middle")
expect(partial.starts == 1 and partial.outcome == "partial", "cut: " .. partial.outcome)
wait_until(function() return try("note", "healthy again").completed end, 20, "the engine")

-- Bytes swallowed on the way: the node cannot know, and says so.
cut("e1", "silent")
local silent = try("payment", "swallowed")
expect(silent.outcome ~= "not_run" or silent.starts == 0, "swallowed: " .. silent.outcome)
expect(not silent.completed, "no answer came")
heal("e1")
wait_until(function() return try("note", "healthy again").completed end, 20, "the engine")

-- The platform's replies lost and the engine refusing, together.
faults("platform", {lose_replies = 3})
faults("e1", {refuse = true})
local both = try("payment", "lost replies and refused")
expect(both.outcome == "not_run" and both.starts == 0, "both: " .. both.error)
faults("platform", {lose_replies = 0})
faults("e1", {refuse = false})
-- What was not run may be run: the same key is free again.
wait_until(function()
  local r = answer(ask{to = "n2", class = "payment", prompt = both.prompt, tokens = 12,
                       idempotency_key = both.prompt, max_resumes = 0})
  return r.completed
end, 20, "the key of a request that was not run to be free")
expect(prompt_starts("e1", both.prompt) == 1, "and then it ran once")
