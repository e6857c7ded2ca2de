#ifndef VERBENALEAD_ENTRY_PLACE_ASKER_H_
#define VERBENALEAD_ENTRY_PLACE_ASKER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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
  /// Lets `call` wait at the target of `replica` until `until`. Returns the
  /// number by which the grant comes, or nothing where it can't wait there.
  std::optional<uint64_t> Reserve(const std::string& service,
                                  const std::string& replica,
                                  const decide::PoolCall& call,
                                  TimePoint until);
  /// The call doesn't wait there any more.
  void Withdraw(uint64_t reservation);
  /// `granted` is called with the reservation when a call that waits gets its
  /// place, `unwanted` with the replica when a place comes that nobody waits
  /// for any more.
  void OnGranted(std::function<void(uint64_t reservation)> granted,
                 std::function<void(const std::string& replica)> unwanted) {
    m_granted = std::move(granted);
    m_unwanted = std::move(unwanted);
  }
  /// Where a reservation was made; empty: it isn't known any more.
  std::string ReplicaOf(uint64_t reservation) const;

  void TakeAnswer(const links::PlaceAnswer& answer);

 private:
  struct Question;

  /// The target process beside `replica`.
  Endpoint TargetOf(const decide::ReplicaState& replica) const;
  links::PlaceRequest RequestFor(const decide::ReplicaState& replica,
                                 const decide::PoolCall& call);

  EntryState& m_state;
  links::Datagrams& m_datagrams;
  uint64_t m_last_ticket = 0;
  std::map<uint64_t, std::shared_ptr<Question>> m_questions;
  /// Where calls wait: replica and target, by reservation.
  std::map<uint64_t, std::pair<std::string, Endpoint>> m_reserved;
  std::function<void(uint64_t)> m_granted;
  std::function<void(const std::string&)> m_unwanted;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_PLACE_ASKER_H_
