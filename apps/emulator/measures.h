// The users' measures, in one report format for real processes and for the virtual fleet.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cartsail/base/clock.h"
#include "cartsail/base/json.h"

namespace cartsail::emulator {

// The end of one request as its caller saw it.
struct RequestResult {
  std::string class_name;
  bool completed = false;
  bool correct = true;  // every token the expected one, none lost or doubled
  Duration first_token{};
  Duration token_interval{};
  int64_t tokens = 0;
  Duration ttft_target{};
  std::string error_kind;  // when not completed
  std::string outcome;
  int resumes = 0;

  bool WithinTarget() const { return completed && correct && first_token <= ttft_target; }
};

struct ClassMeasures {
  int64_t requests = 0;
  int64_t completed = 0;
  int64_t within_target = 0;
  int64_t wrong_answers = 0;
  int64_t resumes = 0;
  int64_t useful_tokens = 0;
  std::map<std::string, int64_t> errors;  // "kind/outcome" -> count
  std::vector<double> first_token_ms;
  std::vector<double> interval_ms;

  double Attainment() const;
};

class Measures {
 public:
  void Add(const RequestResult& result);

  const std::map<std::string, ClassMeasures>& Classes() const { return classes_; }
  int64_t UsefulTokens() const;

  // Over `seconds` of traffic; `computed_tokens` from the engines' own counters, 0 if unknown.
  json::object Report(double seconds, int64_t computed_tokens) const;

 private:
  std::map<std::string, ClassMeasures> classes_;
};

// The report as a table for people.
std::string FormatReport(const json::object& report);

// The value below which the share `quantile` of `values` lies; 0 for none.
double Quantile(std::vector<double> values, double quantile);

}  // namespace cartsail::emulator
