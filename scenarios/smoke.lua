-- One answer through a node, and the number of starts at the engine.
fleet{engines = {{id = "e1"}}, nodes = {{id = "n1"}}}
local r = answer(ask{to = "n1", tokens = 20})
expect(r.completed and r.correct and r.tokens == 20, "the answer is whole")
expect(stats("e1").accepted == 1, "one start")
