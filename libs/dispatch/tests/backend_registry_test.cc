#include "cartsail/dispatch/backend_registry.h"

#include "testing/criterion.h"

namespace cartsail {
namespace {

Backend Make(const std::string& id, const std::string& address, int64_t created = 1) {
  Backend backend;
  backend.id = id;
  backend.service = "s";
  backend.address = address;
  backend.created_revision = created;
  return backend;
}

Test(registry, of_two_entries_with_one_address_the_newer_counts) {
  BackendRegistry registry;
  registry.Put(Make("old", "a:1", 5));
  registry.Put(Make("new", "a:1", 9));
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.ReadyOf("s")[0]->id == "new");
}

Test(registry, an_address_reused_by_another_service_is_not_offered_for_the_first) {
  BackendRegistry registry;
  registry.Put(Make("old", "a:1", 5));
  Backend other = Make("other", "a:1", 9);
  other.service = "t";
  registry.Put(other);
  cr_assert(registry.ReadyOf("s").empty());
  cr_assert(registry.ReadyOf("t").size() == 1);
}

Test(registry, leaving_is_final_for_one_start) {
  BackendRegistry registry;
  registry.Put(Make("b", "a:1"));
  registry.MarkLeaving("b");
  cr_assert(registry.ReadyOf("s").empty());
  registry.Put(Make("b", "a:1"));
  cr_assert(registry.ReadyOf("s").empty());
  registry.ReplaceAll({Make("b", "a:1"), Make("c", "a:2")});
  cr_assert(registry.ReadyOf("s").size() == 1);
  cr_assert(registry.Leaving() == std::vector<BackendKey>{KeyOf("b")});
}

Test(registry, a_whole_list_drops_what_it_does_not_name) {
  BackendRegistry registry;
  registry.Put(Make("b", "a:1"));
  registry.ReplaceAll({Make("c", "a:2")});
  cr_assert(registry.Find("b") == nullptr);
  registry.Remove("c");
  cr_assert(registry.Size() == 0);
  registry.MarkLeaving("c");
  cr_assert(registry.Size() == 0);
}

}  // namespace
}  // namespace cartsail
