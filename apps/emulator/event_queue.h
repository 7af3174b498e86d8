// Events on a virtual clock, run in order of time, then of scheduling.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cartsail/base/clock.h"

namespace cartsail::emulator {

class EventQueue {
 public:
  TimePoint Time() const { return time_; }

  void At(TimePoint time, std::function<void()> work) {
    events_.push({std::max(time, time_), next_number_++, std::move(work)});
  }
  void After(Duration delay, std::function<void()> work) { At(time_ + delay, std::move(work)); }

  // Runs all events up to `end`, then stands at `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.top().time <= end) {
      // The top is const; the event is taken out before it runs, since it may schedule others.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      time_ = event.time;
      ++executed_;
      event.work();
    }
    time_ = end;
  }

  int64_t Executed() const { return executed_; }

 private:
  struct Event {
    TimePoint time;
    uint64_t number;
    std::function<void()> work;
    bool operator<(const Event& other) const {
      if (time != other.time) return time > other.time;
      return number > other.number;
    }
  };

  TimePoint time_{seconds(1)};
  uint64_t next_number_ = 0;
  int64_t executed_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace cartsail::emulator
