#ifndef VERBENALEAD_FRONT_ACCEPTED_CHANGE_H_
#define VERBENALEAD_FRONT_ACCEPTED_CHANGE_H_

#include <cstddef>

#include "model/change.h"

namespace verbenalead::front {

/// A change that is committed, and who holds it besides the entry that took it.
struct AcceptedChange {
  model::Change m_change;
  /// Other entries known to hold it.
  size_t m_held_by = 0;
  /// Other entries that there are. None of them holding it means that the loss
  /// of this entry hides the change until the table is read again.
  size_t m_others = 0;

  friend bool operator==(const AcceptedChange&,
                         const AcceptedChange&) = default;
};

}  // namespace verbenalead::front

#endif  // VERBENALEAD_FRONT_ACCEPTED_CHANGE_H_
