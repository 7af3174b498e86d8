#include "cartsail/base/flags.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "cartsail/base/status.h"

namespace cartsail {
namespace {

constexpr char kVersion[] = "0.1.0";

struct Flag {
  std::string name;
  std::string allowed;
  std::function<bool(const std::string&)> parse;
  std::unique_ptr<TCLAP::ValueArg<std::string>> argument;
};

}  // namespace

struct FlagSet::Impl {
  Impl(std::string program_name, const std::string& description, std::string prefix)
      : program(std::move(program_name)),
        variable_prefix(std::move(prefix)),
        line(description, ' ', kVersion) {
    line.setExceptionHandling(false);
  }

  std::string program;
  std::string variable_prefix;
  TCLAP::CmdLine line;
  std::vector<Flag> flags;
  std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> positional;
  std::vector<std::string>* positional_target = nullptr;
};

FlagSet::FlagSet(std::string program, std::string description, std::string variable_prefix)
    : impl_(std::make_unique<Impl>(std::move(program), description, std::move(variable_prefix))) {}

FlagSet::~FlagSet() = default;

std::string FlagSet::EnvironmentVariable(const std::string& name) const {
  std::string variable = impl_->variable_prefix;
  for (const char c : name) {
    variable.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  }
  return variable;
}

void FlagSet::Parsed(const std::string& name, const std::string& help,
                     const std::string& default_text, const std::string& allowed,
                     std::function<bool(const std::string&)> parse) {
  Flag flag;
  flag.name = name;
  flag.allowed = allowed;
  flag.parse = std::move(parse);
  const std::string text = fmt::format("{} ({}; variable {}; default '{}')", help, allowed,
                                       EnvironmentVariable(name), default_text);
  flag.argument =
      std::make_unique<TCLAP::ValueArg<std::string>>("", name, text, false, default_text, "value");
  impl_->line.add(*flag.argument);
  impl_->flags.push_back(std::move(flag));
}

void FlagSet::Text(const std::string& name, const std::string& help, std::string* target) {
  Parsed(name, help, *target, "text", [target](const std::string& text) {
    *target = text;
    return true;
  });
}

void FlagSet::Integer(const std::string& name, const std::string& help, int64_t* target,
                      int64_t minimum, int64_t maximum) {
  Parsed(name, help, std::to_string(*target), fmt::format("integer {}..{}", minimum, maximum),
         [target, minimum, maximum](const std::string& text) {
           int64_t value = 0;
           if (!absl::SimpleAtoi(text, &value)) return false;
           if (value < minimum || value > maximum) return false;
           *target = value;
           return true;
         });
}

void FlagSet::Real(const std::string& name, const std::string& help, double* target, double minimum,
                   double maximum) {
  Parsed(name, help, fmt::format("{}", *target), fmt::format("number {}..{}", minimum, maximum),
         [target, minimum, maximum](const std::string& text) {
           double value = 0;
           if (!absl::SimpleAtod(text, &value)) return false;
           if (!(value >= minimum && value <= maximum)) return false;
           *target = value;
           return true;
         });
}

void FlagSet::PositionalArguments(const std::string& name, const std::string& help,
                                  std::vector<std::string>* target) {
  impl_->positional =
      std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(name, help, false, name);
  impl_->line.add(*impl_->positional);
  impl_->positional_target = target;
}

absl::Status FlagSet::Parse(const std::vector<std::string>& arguments, bool* exit_now) {
  std::vector<std::string> all = {impl_->program};
  all.insert(all.end(), arguments.begin(), arguments.end());
  *exit_now = false;
  try {
    impl_->line.parse(all);
  } catch (const TCLAP::ExitException&) {
    *exit_now = true;
    return absl::OkStatus();
  } catch (const TCLAP::ArgException& error) {
    return MakeError(ErrorKind::kInvalidArgument,
                     fmt::format("{} {}", error.argId(), error.error()));
  }
  for (const Flag& flag : impl_->flags) {
    std::string text = flag.argument->getValue();
    std::string source = "--" + flag.name;
    if (!flag.argument->isSet()) {
      const std::string variable = EnvironmentVariable(flag.name);
      const char* value = std::getenv(variable.c_str());
      if (value != nullptr) {
        text = value;
        source = variable;
      }
    }
    if (flag.parse(text)) continue;
    return MakeError(
        ErrorKind::kInvalidArgument,
        fmt::format("{}: '{}' is not allowed; allowed: {}", source, text, flag.allowed));
  }
  if (impl_->positional != nullptr) *impl_->positional_target = impl_->positional->getValue();
  return absl::OkStatus();
}

}  // namespace cartsail
