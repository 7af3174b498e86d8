// Plays one request against back ends of which the first to be asked answers with given bytes and
// closes, and the next one answers well.
#pragma once

#include <string>

namespace cartsail::testing {

// Stands for the header of the request's id in the bytes of an answer.
inline constexpr char kIdHeader[] = "{id}\r\n";

// `answer` as the answer to `request`, with kIdHeader replaced.
std::string WithIdOf(const std::string& request, std::string answer);

// Plays `answer` on the route of `path`. Empty if it did not reach the caller as an answer: a
// request that may run again is answered by the other back end, any other one fails with 502. Else
// what the caller saw.
std::string SeenOn(const std::string& path, bool may_repeat, const std::string& answer);

// The same on each kind of route.
std::string SeenOnAnyRoute(const std::string& answer);

}  // namespace cartsail::testing
