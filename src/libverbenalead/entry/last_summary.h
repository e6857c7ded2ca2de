#ifndef VERBENALEAD_ENTRY_LAST_SUMMARY_H_
#define VERBENALEAD_ENTRY_LAST_SUMMARY_H_

#include <cstdint>
#include <string>

namespace verbenalead::entry {

/// The newest summary of a data centre that was taken in.
struct LastSummary {
  /// Host of the entry that made it, and its number there.
  std::string m_sender;
  uint64_t m_number = 0;

  friend bool operator==(const LastSummary&, const LastSummary&) = default;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_LAST_SUMMARY_H_
