#ifndef VERBENALEAD_MODEL_REVISION_H_
#define VERBENALEAD_MODEL_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace verbenalead::model {

/// A position in the history of the platform's store.
///
/// Failure: the store comes back from an older copy and gives numbers out
/// again. Symptom: rows that are written then count as older than those that a
/// process has, and are never in force. Each return begins an era, and
/// positions are ordered as pairs, so no number is compared with one of another
/// history.
struct Revision {
  /// 0: the store, or the process that sent the revision, states no era.
  uint64_t m_era = 0;
  /// Number of the transaction in its era; 0: before the first one.
  uint64_t m_number = 0;

  friend auto operator<=>(const Revision&, const Revision&) = default;
};

inline std::string ToString(const Revision& revision) {
  return std::to_string(revision.m_era) + "/" +
         std::to_string(revision.m_number);
}

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_REVISION_H_
