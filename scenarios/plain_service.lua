-- Plain services are routed like engines: by path, repeatable calls tried again elsewhere, calls that
-- may not be repeated made at most once, a leaving instance left alone.
fleet{
  services = {{id = "s1", name = "kiosk"}, {id = "s2", name = "kiosk"}},
  nodes = {{id = "n1"}, {id = "n2"}},
  tree = {{"team/maps", "backend", "kiosk"}, {"team/maps/default", "tier", "1"},
          {"team/maps/default", "retry_budget", "1"},
          {"team/maps/booking", "repeatable", "false"}},
}
local function call(node, path, class, key)
  return raw(node, "GET /services/maps" .. path .. " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" ..
             "Authorization: Bearer test-key\r\nX-Class: " .. class .. "\r\n" ..
             (key and ("Idempotency-Key: " .. key .. "\r\n") or "") .. "\r\n", 0.5)
end
local function calls() return stats("s1").calls + stats("s2").calls end

local tile = call("n1", "/tiles/7?z=3", "default")
expect(string.find(tile, "200 OK") and string.find(tile, '"path":"/tiles/7"', 1, true), tile)

-- A repeatable call whose back end breaks off is made again; a not repeatable one is not.
faults("s1", {drop_before_reply = 1})
faults("s2", {drop_before_reply = 1})
local before = calls()
local again = call("n1", "/tiles/8", "default")
expect(string.find(again, "200 OK"), "tried again: " .. again)
expect(calls() - before >= 2, "at another back end")
faults("s1", {drop_before_reply = 1})
faults("s2", {drop_before_reply = 1})
before = calls()
local booking = call("n1", "/book", "booking", "booking-1")
expect(string.find(booking, '"outcome":"unknown"', 1, true), booking)
expect(calls() - before == 1, "once, not " .. calls() - before)
faults("s1", {drop_before_reply = 0})
faults("s2", {drop_before_reply = 0})
local twice = call("n2", "/book", "booking", "booking-1")
expect(string.find(twice, "409"), "the key is in use: " .. twice)
expect(calls() - before == 1, "and it did not run again")

-- Without a key it is not made at all.
expect(string.find(call("n1", "/book", "booking"), "idempotency_key_required"), "key required")

-- A leaving instance gets no calls after its refusal.
faults("s1", {leaving = true})
for i = 1, 6 do
  expect(string.find(call("n1", "/tiles/" .. i, "default"), "200 OK"), "served by the other")
end
expect(stats("s1").refused <= 2, "asked in vain " .. stats("s1").refused .. " times")
