#ifndef VERBENALEAD_FRONT_COMMITTED_CHANGE_H_
#define VERBENALEAD_FRONT_COMMITTED_CHANGE_H_

#include <cstddef>

#include "model/change.h"

namespace verbenalead::front {

/// A committed change, and how many other entries have received it from the
/// entry that committed it.
struct CommittedChange {
  model::Change m_change;
  /// Number of other entries known to have received the change.
  size_t m_received_by = 0;
  /// Number of other entries. If there are some but none of them has received
  /// the change, the loss of this entry hides the change until the table is
  /// read again.
  size_t m_other_entries = 0;

  friend bool operator==(const CommittedChange&,
                         const CommittedChange&) = default;
};

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_COMMITTED_CHANGE_H_
