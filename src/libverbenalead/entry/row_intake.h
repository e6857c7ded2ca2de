#ifndef VERBENALEAD_ENTRY_ROW_INTAKE_H_
#define VERBENALEAD_ENTRY_ROW_INTAKE_H_

#include <functional>
#include <map>
#include <string>

#include "entry/entry_state.h"
#include "links/relayed_rows.h"
#include "model/replica.h"
#include "platform/rows.h"

namespace verbenalead::entry {

/// Takes the store's rows into what the entry believes.
class RowIntake {
 public:
  explicit RowIntake(EntryState& state) : m_state(state) {}

  /// The operator's table: the configuration and the versions of weights.
  void TakeOperatorRows(const platform::Rows& rows, bool whole);
  /// The same rows as a near entry has them. Its proof counts if it isn't later
  /// than the truth, which the store's clock tells.
  void TakeRelayedOperatorRows(const links::RelayedRows& relayed);
  /// The newest rows of the operator's table.
  const std::map<std::string, platform::Row>& operator_rows() const {
    return m_operator_rows;
  }
  /// When each declaration of weights may have been made at the earliest.
  const links::SeenTimes& seen() const { return m_seen; }
  /// The table of replicas. `regained_at`: when the store was last regained.
  void TakeReplicaRows(const platform::Rows& rows,
                       bool whole,
                       TimePoint regained_at);
  /// The same as a near entry has it, if that is no older than what is known
  /// here; false: it is.
  bool TakeRelayedReplicaRows(const links::RelayedRows& relayed);
  /// The newest rows of the table of replicas, and the revision up to which all
  /// its changes are in them.
  const std::map<std::string, platform::Row>& replica_rows() const {
    return m_replica_rows;
  }
  uint64_t replicas_revision() const { return m_replicas_revision; }

 private:
  /// From a declaration until it binds.
  Duration UsualBinding() const;
  /// How old a declaration is taken to be that may have been made at any time
  /// since the store last proved that this entry knew the newest.
  Duration UnknownAge() const;
  /// `age_of`: how long ago the row was written, at most.
  void KeepOperatorRows(
      const platform::Rows& rows,
      const std::function<Duration(const platform::Row&)>& age_of);
  void TakeConfig(const std::string& text);
  /// `age`: how long ago the declaration was made.
  void TakeWeights(const platform::Row& row, Duration age);
  void TakeReplicaRow(const platform::Row& row);
  void UpdatePools(TimePoint keep_missing_until);

  EntryState& m_state;
  bool m_weights_seen = false;
  std::map<std::string, platform::Row> m_operator_rows;
  links::SeenTimes m_seen;
  std::map<std::string, platform::Row> m_replica_rows;
  uint64_t m_replicas_revision = 0;
  /// Those rows that could be decoded.
  std::map<std::string, model::Replica> m_replicas;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ROW_INTAKE_H_
