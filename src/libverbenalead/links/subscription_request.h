#ifndef VERBENALEAD_LINKS_SUBSCRIPTION_REQUEST_H_
#define VERBENALEAD_LINKS_SUBSCRIPTION_REQUEST_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "links/declaration_report.h"
#include "model/revision.h"

namespace verbenalead::links {

/// Subscribes the sender to the updates of a target process for a few seconds,
/// and states which revisions the sender has, so that the target process can
/// fetch what it lacks. Sent repeatedly while the sender needs the updates.
struct SubscriptionRequest {
  /// Subscribes to ChunkUpdate if true, otherwise to ReplicaUpdate.
  bool m_wants_chunks = false;
  /// The sender is in the same data centre. An entry in another data centre
  /// only states its revisions and isn't subscribed: it gets the replica's
  /// state from the summary of the data centre.
  bool m_same_data_center = false;
  /// Revision of the newest change of declared weights that the sender has.
  /// Changes of the routing alone don't count, since a target process doesn't
  /// need them: when they did, 26 hosts fetched 100 KB each several times a
  /// second and overloaded the entry that reads the store.
  model::Revision m_weights_revision;
  /// Hash of the sender's list of replicas; 0 if it has none.
  uint64_t m_replicas_hash = 0;
  /// Share of the slots of the usable replicas of the target's service that are
  /// in use, as far as the sender knows, in percent.
  uint32_t m_used_slots_percent = 100;
  /// Data centres that the operator has evacuated, as far as the sender knows.
  std::set<std::string> m_evacuated_data_centers;
  /// Declared versions of the target's model whose dates the sender knows.
  std::vector<DeclarationAge> m_declared;

  friend bool operator==(const SubscriptionRequest&,
                         const SubscriptionRequest&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_SUBSCRIPTION_REQUEST_H_
