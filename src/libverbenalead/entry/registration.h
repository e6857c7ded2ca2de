#ifndef VERBENALEAD_ENTRY_REGISTRATION_H_
#define VERBENALEAD_ENTRY_REGISTRATION_H_

#include <functional>
#include <string>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "platform/rows.h"
#include "platform/store.h"

namespace verbenalead::entry {

/// Makes this entry known by its row in the store, and learns of the others by
/// theirs. Not safe for concurrent use.
///
/// Load: all processes of hundreds start at once. Harm: when each read the rows
/// of all entries, the answers grew with the square of the fleet and filled the
/// links to the store for seconds, while nobody served. So each reads the part
/// of its own data centre, and the one that speaks for it the others'.
class Registration {
 public:
  /// `on_near` is called after the near entries were read, `speaks` tells
  /// whether this entry speaks for its data centre. `state` and `store` outlive
  /// this.
  Registration(EntryState& state,
               platform::Store& store,
               std::function<void()> on_near,
               std::function<bool()> speaks);

  /// Keeps the own row there and reads the near ones. Doesn't return.
  Awaitable<void> KeepRegistered();
  /// Reads the far ones where that is this entry's part. Doesn't return.
  Awaitable<void> LearnFarEntries();

 private:
  /// False: not all of them could be read.
  Awaitable<bool> ReadFarParts();
  void TakeRows(const platform::Rows& rows);

  EntryState& m_state;
  platform::Store& m_store;
  const std::function<void()> m_on_near;
  const std::function<bool()> m_speaks;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_REGISTRATION_H_
