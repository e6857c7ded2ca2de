#ifndef VERBENALEAD_ENTRY_ROW_APPLIER_H_
#define VERBENALEAD_ENTRY_ROW_APPLIER_H_

#include <functional>
#include <map>
#include <string>

#include "decide/placement/gone_replicas.h"
#include "entry/entry_state.h"
#include "links/relayed_rows.h"
#include "model/replica.h"
#include "platform/rows.h"

namespace verbenalead::entry {

/// Applies rows of the store's tables to the state of an entry, whether they
/// were read from the store or fetched from another entry.
class RowApplier {
 public:
  explicit RowApplier(EntryState& state) : m_state(state) {}

  /// Applies rows of the operator's table: the configuration, the declared
  /// versions of weights and the evacuations. `is_snapshot`: the rows are all
  /// that the table holds. A configuration or weights that are older by their
  /// own version than those known are not applied, whatever the revision of
  /// their row: after the store came back from a copy, its rows are older.
  void ApplyOperatorRows(const platform::Rows& rows, bool is_snapshot);
  /// Applies the operator's rows as fetched from an entry of the same data
  /// centre. Their proof renews the lease only once the offset of the store's
  /// clock is known, because a proof dated too late would extend the lease.
  void ApplyRelayedOperatorRows(const links::RelayedRows& relayed);
  /// The newest known rows of the operator's table, by key.
  const std::map<std::string, platform::Row>& operator_rows() const {
    return m_operator_rows;
  }
  /// The earliest time at which each declaration of weights may have been made.
  links::EarliestWriteTimes seen() const;
  /// Applies rows of the table of replicas. `regained_at`: when the store last
  /// answered again after a failure.
  void ApplyReplicaRows(const platform::Rows& rows,
                        bool is_snapshot,
                        TimePoint regained_at);
  /// Applies the table of replicas as fetched from an entry of the same data
  /// centre. Returns false, and changes nothing, if it is older than the table
  /// known here.
  bool ApplyRelayedReplicaRows(const links::RelayedRows& relayed);
  /// The newest known rows of the table of replicas, by key.
  const std::map<std::string, platform::Row>& replica_rows() const {
    return m_replica_rows;
  }
  /// The revision up to which replica_rows() contains all changes.
  model::Revision replicas_revision() const { return m_replicas_revision; }
  /// Change with each change of operator_rows(), and of replica_rows().
  uint64_t operator_generation() const {
    return m_operator_generation + m_state.m_declaration_changes;
  }
  uint64_t replica_generation() const { return m_replica_generation; }
  /// Uses replicas again that only seemed to be back from a copy of the store.
  /// Called ten times a second.
  void ReviewGoneReplicas();
  /// Ends evacuations that are missing from a copy of the store. Called ten
  /// times a second.
  void ReviewEvacuations();

 private:
  /// `date_of` returns when a row was written. `source`: `store` or `entry`.
  void MergeOperatorRows(
      const platform::Rows& rows,
      const std::string& source,
      const std::function<decide::DeclarationDate(const platform::Row&)>&
          date_of);
  void MergeEvacuationRow(const platform::Row& row, const std::string& source);
  /// Marks the rows of these data centres as deleted, so that other entries
  /// that fetch the rows get the removals too.
  void MarkEvacuationsEnded(const std::vector<std::string>& data_centers);
  /// Logs the regions that the configuration names and no data centre has.
  void LogUnknownRegions() const;
  /// Applies a row that is not known yet; returns false if it is malformed, or
  /// older by its content than what is known.
  bool ApplyOperatorRow(const platform::Row& row,
                        decide::DeclarationDate date,
                        const std::string& source);
  bool ApplyConfig(const std::string& text);
  bool ApplyWeights(const platform::Row& row,
                    decide::DeclarationDate date,
                    const std::string& source);
  void ApplyReplicaRow(const platform::Row& row);
  /// Removes the rows that a whole table doesn't have.
  void RemoveAbsentReplicas(const platform::Rows& rows);
  void UpdatePools(TimePoint keep_missing_until);

  EntryState& m_state;
  bool m_operator_rows_read = false;
  std::map<std::string, platform::Row> m_operator_rows;
  std::map<std::string, platform::Row> m_replica_rows;
  model::Revision m_replicas_revision;
  uint64_t m_operator_generation = 0;
  uint64_t m_replica_generation = 0;
  /// The rows of the table of replicas that could be decoded.
  std::map<std::string, model::Replica> m_replicas;
  decide::GoneReplicas m_gone;
  /// Some rows are taken for those of replicas that are gone.
  bool m_hides_replicas = false;
  /// Version of the configuration by whose services the pools were updated.
  uint64_t m_pools_config_version = 0;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_ROW_APPLIER_H_
