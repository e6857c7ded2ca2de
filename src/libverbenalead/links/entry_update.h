#ifndef VERBENALEAD_LINKS_ENTRY_UPDATE_H_
#define VERBENALEAD_LINKS_ENTRY_UPDATE_H_

#include <optional>
#include <vector>

#include "decide/health/quarantine.h"
#include "links/aged_crash_report.h"
#include "links/declaration_report.h"
#include "links/evacuation_report.h"
#include "links/statement_report.h"
#include "model/entry_address.h"
#include "model/revision.h"

namespace verbenalead::links {

/// State of an entry, sent to the other entries of its data centre.
struct EntryUpdate {
  model::EntryAddress m_address;
  /// The entry accepts calls.
  bool m_ready = false;
  std::vector<decide::CrashRecord> m_crashes;
  /// Crashes by parts of prompts.
  std::vector<AgedCrashReport> m_crash_reports;
  /// Revision of the newest change of the operator's table that the entry has,
  /// and the store's time at which the store confirmed that there was no newer
  /// one. The time is zero if the entry has lost its connection to the store.
  model::Revision m_operator_revision;
  Duration m_operator_confirmed_at{};
  /// The entry's version of the configuration; 0 if it has none. After the
  /// store came back from a copy an entry may have an older one than others,
  /// with the same revision.
  uint64_t m_config_version = 0;
  /// For how long the entry has known that the store came back from a copy, in
  /// the era of its revision; absent if it doesn't know, or if it is long ago.
  std::optional<Duration> m_era_age;
  /// Hash of the entry's list of replicas; entries whose hashes are equal have
  /// the same list.
  uint64_t m_replicas_hash = 0;
  /// Age of that list.
  Duration m_replicas_age{};
  /// Upper bound of the number of entries in other data centres; absent if
  /// unknown.
  std::optional<uint32_t> m_remote_entries;
  /// Leaving replicas, and rate limits of replicas that have no target process.
  std::vector<ReplicaStatementReport> m_statements;

  /// Active evacuations, and those that ended a short while ago. An entry gets
  /// all rows only once it has fetched the tables, which may take seconds while
  /// many entries fetch them, or has read a copy of the store that lacks some.
  std::vector<EvacuationReport> m_evacuations;

  /// Declared versions of weights whose dates the entry knows. The rows show
  /// the newest version alone.
  std::vector<DeclarationReport> m_declarations;

  friend bool operator==(const EntryUpdate&, const EntryUpdate&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_ENTRY_UPDATE_H_
