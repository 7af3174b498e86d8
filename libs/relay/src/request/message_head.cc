#include "request/message_head.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "cartsail/base/text.h"

namespace cartsail {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {"Connection",
                                                                "Keep-Alive",
                                                                "Proxy-Connection",
                                                                "Proxy-Authenticate",
                                                                "Proxy-Authorization",
                                                                "TE",
                                                                "Trailer",
                                                                "Transfer-Encoding",
                                                                "Upgrade"};

bool ListsToken(std::string_view connection, std::string_view name) {
  for (const std::string_view token : SplitFields(connection, ',')) {
    if (EqualsIgnoreCase(token, name)) return true;
  }
  return false;
}

void AppendHeaders(const HttpHeaders& headers, std::string* text) {
  for (const HttpHeader& header : headers) {
    text->append(header.name).append(": ").append(header.value).append("\r\n");
  }
  text->append("\r\n");
}

}  // namespace

bool IsHopByHop(std::string_view name, const HttpHeaders& headers) {
  for (const std::string_view known : kConnectionHeaders) {
    if (EqualsIgnoreCase(name, known)) return true;
  }
  for (const HttpHeader& header : headers) {
    if (!EqualsIgnoreCase(header.name, "Connection")) continue;
    if (ListsToken(header.value, name)) return true;
  }
  return false;
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers, const std::vector<std::string>& without) {
  HttpHeaders kept;
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, "Content-Length")) continue;
    if (IsHopByHop(header.name, headers)) continue;
    const auto is_left_out = [&header](const std::string& name) {
      return EqualsIgnoreCase(header.name, name);
    };
    if (std::any_of(without.begin(), without.end(), is_left_out)) continue;
    kept.push_back(header);
  }
  return kept;
}

std::string RequestHeadText(std::string_view method, std::string_view target,
                            const HttpHeaders& headers) {
  std::string text;
  text.reserve(512);
  text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  AppendHeaders(headers, &text);
  return text;
}

std::string ResponseHeadText(int status, std::string_view reason, const HttpHeaders& headers) {
  std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
  AppendHeaders(headers, &text);
  return text;
}

}  // namespace cartsail
