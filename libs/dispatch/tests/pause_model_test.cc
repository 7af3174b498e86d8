// The learnt model of an engine's pauses, checked against synthetic engines.
#include "cartsail/dispatch/pause_model.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "testing/criterion.h"

namespace cartsail {
namespace {

constexpr BackendKey kEngine = 1;
constexpr BackendKey kOther = 2;

// An engine that follows the model's equation: noise of 3 % on the longest pause, and a mean pause
// up to 20 % above the base.
struct SyntheticEngine {
  double base_ms = 20;
  double prefill_ms = 200;

  StreamPauses Pauses(double backlog_ms, std::mt19937& random) const {
    std::uniform_real_distribution<double> noise(0.97, 1.03);
    const double longest = std::min(base_ms + backlog_ms, prefill_ms) * noise(random);
    return {base_ms * std::uniform_real_distribution<double>(1.0, 1.2)(random), longest};
  }
};

void Observe(const SyntheticEngine& engine, BackendKey key, int streams, std::mt19937& random,
             PauseModel* model) {
  std::uniform_real_distribution<double> backlog(0, 800);
  for (int i = 0; i < streams; ++i) {
    const double backlog_ms = backlog(random);
    model->Note(key, engine.Pauses(backlog_ms, random), backlog_ms);
  }
}

Test(pause_model, an_unknown_engine_has_unbounded_pauses) {
  const PauseModel model;
  cr_assert(model.ExpectedPause(kEngine, 400) == 400);
  cr_assert(model.BreakProbability(kEngine, 400, milliseconds(200)) > 0.9);
  cr_assert(model.BreakProbability(kEngine, 20, milliseconds(200)) < 0.05);
  cr_assert(model.BreakProbability(kEngine, 400, milliseconds(0)) == 0, "no bound, no break");
}

Test(pause_model, converges_within_sixty_streams_from_any_prior) {
  for (uint32_t seed = 0; seed < 50; ++seed) {
    std::mt19937 random(seed);
    PauseModel model;
    // The prior: another engine of the service, faster or slower.
    const double factor = std::uniform_real_distribution<double>(0.4, 2.5)(random);
    Observe({20 * factor, 200 * factor}, kOther, 200, random, &model);
    Observe({20, 200}, kEngine, 60, random, &model);
    const double reading = model.ReadingPause(kEngine);
    cr_assert(reading > 175 && reading < 225, "seed %u: %f", seed, reading);
    cr_assert(std::abs(model.BasePause(kEngine) - 20) < 4);
  }
}

Test(pause_model, tells_engines_that_break_a_bound_from_those_that_do_not) {
  std::mt19937 random(7);
  PauseModel model;
  Observe({18, 180}, kEngine, 80, random, &model);
  Observe({25, 250}, kOther, 80, random, &model);
  const Duration bound = milliseconds(215);
  cr_assert(model.BreakProbability(kEngine, 900, bound) < 0.2);
  cr_assert(model.BreakProbability(kOther, 900, bound) > 0.8);
}

Test(pause_model, one_engine_does_not_move_another_that_is_known) {
  std::mt19937 random(3);
  PauseModel model;
  Observe({20, 200}, kEngine, 200, random, &model);
  const double before = model.ReadingPause(kEngine);
  for (int i = 0; i < 1000; ++i) model.Note(kOther, {900, 60000}, 500);
  cr_assert(model.BasePause(kEngine) < 25);
  cr_assert(model.ReadingPause(kEngine) < 1.5 * before, "%f", model.ReadingPause(kEngine));
}

Test(pause_model, a_single_long_pause_of_another_cause_moves_little) {
  std::mt19937 random(4);
  PauseModel model;
  Observe({20, 200}, kEngine, 100, random, &model);
  model.Note(kEngine, {20, 2300}, 300);
  cr_assert(model.ReadingPause(kEngine) < 260);
  Observe({20, 200}, kEngine, 200, random, &model);
  cr_assert(model.ReadingPause(kEngine) < 225);
}

Test(pause_model, stays_finite_and_positive_whatever_comes) {
  for (uint32_t seed = 0; seed < 100; ++seed) {
    std::mt19937 random(seed);
    PauseModel model;
    std::uniform_real_distribution<double> any(-1e4, 1e6);
    for (int i = 0; i < 300; ++i) {
      const BackendKey key = random() % 4;
      model.Note(key, {any(random), any(random)}, any(random));
      model.NotePeerBase(key, any(random));
      const double pause = model.ExpectedPause(key, std::abs(any(random)));
      cr_assert(std::isfinite(pause) && pause >= 0);
      const double chance = model.BreakProbability(key, any(random), milliseconds(random() % 900));
      cr_assert(chance >= 0 && chance <= 1);
    }
  }
}

Test(pause_model, forgets_engines_that_are_gone) {
  PauseModel model;
  model.Note(kEngine, {20, 0}, 0);
  model.ForgetUnless([](BackendKey) { return false; });
  cr_assert(model.BasePause(kEngine) == 0);
}

}  // namespace
}  // namespace cartsail
