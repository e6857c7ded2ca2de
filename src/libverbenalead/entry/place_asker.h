#ifndef VERBENALEAD_ENTRY_PLACE_ASKER_H_
#define VERBENALEAD_ENTRY_PLACE_ASKER_H_

#include <map>
#include <memory>
#include <string>

#include "base/awaitable.h"
#include "entry/entry_state.h"
#include "links/datagrams.h"

namespace verbenalead::entry {

/// Asks target processes for places at their replicas.
///
/// What an entry knows of the others' calls is up to 0.2 s old; in this time 28
/// calls begin at the users' peak, and those of all entries go to the replica
/// that seemed emptiest. The target process counts them all and is one round
/// trip away, 0.4 to 4 ms.
class PlaceAsker {
 public:
  PlaceAsker(EntryState& state, links::Datagrams& datagrams)
      : m_state(state), m_datagrams(datagrams) {}

  /// Whether the target grants `call` a place at `replica`. A target that
  /// doesn't answer is no reason to leave its replica unused: what this entry
  /// believes then decides, and it isn't asked again for a while.
  Awaitable<bool> Ask(std::string service,
                      std::string replica,
                      decide::PoolCall call);
  void TakeAnswer(const links::PlaceAnswer& answer);

 private:
  struct Question;

  EntryState& m_state;
  links::Datagrams& m_datagrams;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Question>> m_questions;
  /// Targets that didn't answer, by replica, until when they aren't asked.
  std::map<std::string, TimePoint> m_silent;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLACE_ASKER_H_
