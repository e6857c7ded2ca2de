#ifndef VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_
#define VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "model/store_time.h"

namespace verbenalead::decide {

/// When a version was declared, as far as this process can tell. The time is on
/// a clock that also counts while the host is suspended.
struct DeclarationDate {
  Duration m_declared_at{};
  /// Whether the store confirmed at that time that the version wasn't declared
  /// yet, so that the declaration isn't older. Otherwise the time is a guess.
  bool m_known = false;
  /// The same in the store's time, for other processes; absent if unknown.
  std::optional<model::StoreTime> m_store_time;

  friend bool operator==(const DeclarationDate&,
                         const DeclarationDate&) = default;
};

/// Whether `a` replaces `b` as the date of the same declaration: a known date
/// replaces a guess, otherwise the earlier one counts. A later one may be that
/// of a row that was written again.
bool IsBetterDate(const DeclarationDate& a, const DeclarationDate& b);

/// One declared version of a model's weights.
struct Declaration {
  DeclarationDate m_date;
  /// From this time on no call may begin on older weights.
  TimePoint m_binds_at{};

  friend bool operator==(const Declaration&, const Declaration&) = default;
};

/// Declared versions of one model's weights. From its binding time on, a
/// version forbids calls to begin on older versions.
///
/// Failure: the store keeps the newest declaration alone, and a process starts
/// or is away while two versions are declared a few seconds apart. Symptom: it
/// lets calls begin on the oldest version until the second one binds, though
/// the first one bound before. So each version is kept with its own date, and
/// processes tell each other the dates that they know.
struct DeclaredVersions {
  std::map<uint64_t, Declaration> m_declarations;

  friend bool operator==(const DeclaredVersions&,
                         const DeclaredVersions&) = default;
};

/// Records that `version` was declared on `date`. It binds at `binds_at` if
/// that date is the best one known. Returns whether this changed anything.
bool Declare(DeclaredVersions& versions,
             uint64_t version,
             DeclarationDate date,
             TimePoint binds_at);

/// The newest declared version; 0 if there is none.
uint64_t Newest(const DeclaredVersions& versions);

/// The oldest version on which a call may begin now; 0 for any.
uint64_t Binding(const DeclaredVersions& versions, TimePoint now);

/// Time from which no call may begin on `version`; TimePoint::max() if no newer
/// version is declared.
TimePoint ForbiddenFrom(const DeclaredVersions& versions, uint64_t version);

/// The versions whose dates other processes need, oldest first: those that bind
/// later than `since`, and the newest one that binds by then.
std::map<uint64_t, Declaration> BindingSince(const DeclaredVersions& versions,
                                             TimePoint since);

/// Whether the date of a version that isn't binding yet is a guess.
bool HasGuessedDate(const DeclaredVersions& versions, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_DECLARED_VERSIONS_H_
