#include "cartsail/routing/route_table.h"

#include <map>

#include "cartsail/base/status.h"
#include "testing/criterion.h"

namespace cartsail {
namespace {

RouteRule MakeRoute(const std::string& name, const std::string& prefix) {
  RouteRule route;
  route.name = name;
  route.host = "Maps.example";
  route.path_prefix = prefix;
  route.shares = {{"s", 1}};
  return route;
}

RoutingDocument MakeDocument() {
  RoutingDocument document;
  document.version = 3;
  document.services = {{"s", 0, std::nullopt}, {"t", 0, std::nullopt}};
  document.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")};
  document.tenants = {{"one", {"k1", "k2"}, 4}, {"two", {"k3"}, std::nullopt}};
  return document;
}

Test(routes, the_longest_prefix_of_the_host_wins) {
  const auto table = RouteTable::Build(MakeDocument());
  cr_assert((*table)->FindRoute("maps.example", "/a/b/c")->name == "long");
  cr_assert((*table)->FindRoute("MAPS.example:80", "/a/bc")->name == "short");
  cr_assert((*table)->FindRoute("maps.example", "/a") == nullptr);
  cr_assert((*table)->FindRoute("other.example", "/a/b/") == nullptr);
}

Test(routes, keys_name_their_tenant) {
  const auto table = RouteTable::Build(MakeDocument());
  cr_assert((*table)->FindTenant("k2")->name == "one");
  cr_assert((*table)->FindTenant("k3")->name == "two");
  cr_assert((*table)->FindTenant("") == nullptr);
  cr_assert((*table)->NeedsKeys());
}

Test(routes, a_split_follows_its_weights_and_keeps_a_request_where_it_was) {
  RouteRule route = MakeRoute("r", "/a/");
  route.shares = {{"s", 90}, {"t", 10}};
  std::map<std::string, int> counts;
  for (int i = 0; i < 5000; ++i) {
    const std::string id = "request-" + std::to_string(i);
    ++counts[PickService(route, id)];
    cr_assert(PickService(route, id) == PickService(route, id));
  }
  cr_assert(counts["t"] > 400 && counts["t"] < 600);
  route.shares = {{"s", 0}, {"t", 0}};
  cr_assert(PickService(route, "x") == "s");
  route.shares = {{"s", 0}, {"t", 5}};
  for (int i = 0; i < 100; ++i) cr_assert(PickService(route, std::to_string(i)) == "t");
}

Test(routes, errors_name_the_route) {
  const auto error_of = [](const std::function<void(RoutingDocument&)>& change) {
    RoutingDocument document = MakeDocument();
    change(document);
    return ValidateRoutingDocument(document);
  };
  cr_assert(ValidateRoutingDocument(MakeDocument()).ok());
  const std::vector<absl::Status> errors = {
      error_of([](RoutingDocument& d) { d.routes[0].path_prefix = "/a"; }),
      error_of([](RoutingDocument& d) { d.routes[0].host.clear(); }),
      error_of([](RoutingDocument& d) {
        d.routes[0].shares = {{"none", 1}};
      }),
      error_of([](RoutingDocument& d) { d.routes[0].shares.clear(); }),
      error_of([](RoutingDocument& d) { d.routes[0].max_attempts = 0; }),
      error_of([](RoutingDocument& d) { d.routes[0].timeout = Duration(0); }),
      error_of([](RoutingDocument& d) { d.routes[1].name = "short"; }),
  };
  for (const absl::Status& error : errors) {
    cr_assert(KindOf(error) == ErrorKind::kInvalidSetting);
    cr_assert(error.message().find("short") != absl::string_view::npos);
  }
}

}  // namespace
}  // namespace cartsail
