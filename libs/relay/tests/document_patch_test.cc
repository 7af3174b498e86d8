#include "catalog/document_patch.h"

#include <fmt/format.h>

#include <algorithm>

#include "testing/criterion.h"

namespace cartsail {
namespace {

std::string TextWithRoutes(int routes) {
  std::string text;
  for (int i = 0; i < routes; ++i) {
    text += fmt::format("{{\"name\":\"r-{}\",\"prefix\":\"/p{}/\"}},", i, i * 7919 % 1009);
  }
  return text;
}

Test(document_patch, gives_the_text_back_on_its_base) {
  const std::string base = TextWithRoutes(300);
  const std::string text = TextWithRoutes(301);
  const std::string patch = MakeDocumentPatch(base, text);
  cr_assert(patch.size() < 200, "%zu bytes", patch.size());
  cr_assert(*ApplyDocumentPatch(base, patch) == text);
  const std::string whole = MakeDocumentPatch("", text);
  cr_assert(whole.size() < text.size());
  cr_assert(*ApplyDocumentPatch("", whole) == text);
}

Test(document_patch, is_refused_on_another_base) {
  const std::string base = TextWithRoutes(300);
  const std::string patch = MakeDocumentPatch(base, TextWithRoutes(301));
  std::string other = base;
  std::replace(other.begin(), other.end(), 'p', 'q');
  cr_assert(!ApplyDocumentPatch(other, patch).ok());
  cr_assert(!ApplyDocumentPatch("", patch).ok());
  cr_assert(!ApplyDocumentPatch(base, "").ok());
  cr_assert(!ApplyDocumentPatch(base, "no patch at all").ok());
  for (size_t size = 0; size + 1 < patch.size(); ++size) {
    cr_assert(!ApplyDocumentPatch(base, patch.substr(0, size)).ok());
  }
}

}  // namespace
}  // namespace cartsail
