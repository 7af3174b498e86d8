// Command-line flags with environment variables behind them: --listen and CARTSAIL_LISTEN. A thin
// layer over TCLAP that adds the variables, ranges and typed errors.
#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cartsail {

class FlagSet {
 public:
  // `variable_prefix` such as "CARTSAIL_".
  FlagSet(std::string program, std::string description, std::string variable_prefix);
  ~FlagSet();
  FlagSet(const FlagSet&) = delete;
  FlagSet& operator=(const FlagSet&) = delete;

  // Declares a flag whose value goes to `*target`, which holds the default.
  void Text(const std::string& name, const std::string& help, std::string* target);
  void Integer(const std::string& name, const std::string& help, int64_t* target, int64_t minimum,
               int64_t maximum);
  void Real(const std::string& name, const std::string& help, double* target, double minimum,
            double maximum);
  // A value that `parse` accepts; `allowed` describes what that is.
  void Parsed(const std::string& name, const std::string& help, const std::string& default_text,
              const std::string& allowed, std::function<bool(const std::string&)> parse);
  // Words that stand without a flag.
  void PositionalArguments(const std::string& name, const std::string& help,
                           std::vector<std::string>* target);

  // Flags win over variables, variables over defaults. kInvalidArgument names the flag and what is
  // allowed. `--help` and `--version` print and set `*exit_now`.
  absl::Status Parse(const std::vector<std::string>& arguments, bool* exit_now);

  // The variable behind a flag: "machine-lag" -> "CARTSAIL_MACHINE_LAG".
  std::string EnvironmentVariable(const std::string& name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cartsail
