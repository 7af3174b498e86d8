// Command-line flags with environment variables as fallback, such as --listen and CARTSAIL_LISTEN.
// A thin layer over TCLAP that adds the variables, ranges and typed errors.
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
  // `variable_prefix` begins the names of the environment variables, such as "CARTSAIL_".
  FlagSet(std::string program, std::string description, std::string variable_prefix);
  ~FlagSet();
  FlagSet(const FlagSet&) = delete;
  FlagSet& operator=(const FlagSet&) = delete;

  // Declares a flag whose value is stored in `*target`, which initially holds the default. Bounds
  // are inclusive.
  void Text(const std::string& name, const std::string& help, std::string* target);
  void Integer(const std::string& name, const std::string& help, int64_t* target, int64_t minimum,
               int64_t maximum);
  void Real(const std::string& name, const std::string& help, double* target, double minimum,
            double maximum);
  // Declares a flag with a custom parser that returns false for values that are not allowed.
  // `allowed` describes the allowed values for the help and for errors.
  void Parsed(const std::string& name, const std::string& help, const std::string& default_text,
              const std::string& allowed, std::function<bool(const std::string&)> parse);
  // Declares the positional arguments, which are stored in `*target`.
  void PositionalArguments(const std::string& name, const std::string& help,
                           std::vector<std::string>* target);

  // Flags take precedence over variables, and variables over defaults. Returns kInvalidArgument for
  // an unknown flag or a value that is not allowed; the message then names the flag or variable
  // and, for a value, what is allowed. `--help` and `--version` print their text and set
  // `*exit_now`.
  absl::Status Parse(const std::vector<std::string>& arguments, bool* exit_now);

  // Name of a flag's environment variable: "machine-lag" -> "CARTSAIL_MACHINE_LAG".
  std::string EnvironmentVariable(const std::string& name) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cartsail
