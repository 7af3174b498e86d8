-- A request that may not be repeated runs at most once, under races, lost replies, a frozen node, a
-- killed node and an outage of the platform. Counted at the engines.
local engines = {"e1", "e2"}
fleet{
  engines = {{id = "e1"}, {id = "e2"}},
  nodes = {{id = "n1"}, {id = "n2"}},
  tree = {{"team/assistant/payment", "repeatable", "false"},
          {"team/assistant/payment", "tier", "1"}},
}

local function starts(prompt)
  return prompt_starts("e1", prompt) + prompt_starts("e2", prompt)
end

local function pay(node, key, tokens, prompt)
  return ask{to = node, class = "payment", idempotency_key = key, prompt = prompt or key,
             tokens = tokens or 5, max_resumes = 0}
end

-- The same key at two nodes at once.
for i = 1, 10 do
  local key = "race-" .. i
  local a, b = pay("n1", key), pay("n2", key)
  local ra, rb = answer(a), answer(b)
  expect(starts(key) == 1, key .. " ran " .. starts(key) .. " times")
  expect((ra.completed and rb.status == 409) or (rb.completed and ra.status == 409),
         "one is served, the other told that the key is in use")
  expect(ra.completed or ra.outcome == "unknown", "the other's outcome is unknown")
end

-- A key used before is not run again.
local again = answer(pay("n2", "race-1"))
expect(again.status == 409 and again.error == "idempotency_key_in_use", "used before")
expect(starts("race-1") == 1, "not run again")

-- The platform's reply to the claim is lost after the write took effect.
faults("platform", {lose_replies = 1})
local lost = answer(pay("n1", "lost-reply"))
expect(lost.completed, "the claim is decided by sending it again: " .. lost.error)
expect(starts("lost-reply") == 1, "and runs once")

-- A node frozen between its claim and the first byte to an engine, thawed long after.
delay("n1-platform", 400)
delay("n2-platform", 400)
local frozen = pay("n1", "frozen")
wait_until(function() return metric("n1", "requests_in_flight") == 1 end, 5, "the request")
freeze("n1")
delay("n2-platform", 0)
local other = answer(pay("n2", "frozen"), 30)
expect(other.status == 409 or other.completed, "the other node decides: " .. other.error)
wait_until(function() return live_members(status("n2")) == 0 end, 10, "n1 to be suspected")
delay("n1-platform", 0)
thaw("n1")
local late = answer(frozen, 30)
expect(starts("frozen") <= 1, "ran " .. starts("frozen") .. " times")
expect(late.completed ~= other.completed, "exactly one of the two is served")
if late.completed then expect(other.outcome == "unknown", "the refused one says unknown") end

-- A node killed after its claim, in the middle of the answer: the retry may not run, but the
-- stream it is pointed to can be resumed and is complete.
local cut = ask{to = "n1", class = "payment", idempotency_key = "killed", prompt = "killed",
                tokens = 60, max_resumes = 0}
wait_until(function() return starts("killed") == 1 end, 10, "the start")
kill("n1")
local r = answer(cut)
expect(not r.completed, "the caller lost its connection")
local retry = answer(pay("n2", "killed", 60))
expect(retry.status == 409 and retry.outcome == "unknown", "the retry is told: in use")
expect(starts("killed") == 1, "and does not run")
expect(string.find(retry.body, '"stream":"e'), "it names the stream")
restart("n1")

-- Every reply is lost for longer than a claim is tried: undecided, so not run; the record that was
-- written all the same is withdrawn, and the key works afterwards.
expect(answer(pay("n2", "before")).completed, "a claim, so that its lease is there")
faults("platform", {lose_replies = 1000})
local undecided = answer(pay("n2", "undecided"), 20)
expect(undecided.error == "platform_unavailable" and undecided.outcome == "not_run",
       "not run: " .. undecided.error .. "/" .. undecided.outcome)
expect(starts("undecided") == 0, "nothing was started")
faults("platform", {lose_replies = 0})
wait_until(function() return answer(pay("n2", "undecided")).completed end, 20,
           "the key of an undecided claim to be free")
expect(starts("undecided") == 1, "it ran once")

-- An outage: not run, and the same key works afterwards.
faults("platform", {outage = "refuse"})
local before = starts("outage")
local out = answer(pay("n2", "outage"), 20)
expect(out.error == "platform_unavailable" and out.outcome == "not_run", "not run: " .. out.error)
expect(out.status == 503, "with a time to come back")
expect(starts("outage") == 0, "nothing was started")
faults("platform", {outage = "none"})
local done = wait_until(function()
  local try = answer(pay("n2", "outage"))
  return try.completed and try
end, 20, "the same key to work after the outage")
expect(done.correct and starts("outage") == 1, "it ran once")
