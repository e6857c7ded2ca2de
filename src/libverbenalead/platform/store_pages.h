#ifndef VERBENALEAD_PLATFORM_STORE_PAGES_H_
#define VERBENALEAD_PLATFORM_STORE_PAGES_H_

#include <optional>
#include <string>
#include <vector>

#include "decide/store/page_cursor.h"
#include "platform/rows.h"

namespace verbenalead::platform {

/// One answer of the store about rows.
struct RowsPage {
  Rows m_rows;
  decide::PageFacts m_facts;
  /// Keys of rows that were left out, since their key is no text.
  std::vector<std::string> m_left_out;
};

/// One answer of the store about the parts of a table.
struct PartsPage {
  std::vector<std::string> m_parts;
  bool m_has_more = false;
};

/// Decode answers of the store; nothing if `body` is no such answer. A row or a
/// part that can't be read is left out. `era`: the era that the answer states.
std::optional<RowsPage> DecodeRowsPage(const std::string& body, uint64_t era);
std::optional<PartsPage> DecodePartsPage(const std::string& body);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_STORE_PAGES_H_
