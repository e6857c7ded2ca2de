#ifndef VERBENALEAD_DECIDE_STORE_TABLE_CURSOR_H_
#define VERBENALEAD_DECIDE_STORE_TABLE_CURSOR_H_

#include <algorithm>

#include "model/revision.h"

namespace verbenalead::decide {

/// Tracks how far a process has read a table of the store, and decides what to
/// do with an answer.
///
/// Failure: the store comes back from an older copy, and other writes carry its
/// numbers past the one up to which this process has read. Symptom: the store
/// answers as if nothing had happened, and changes that were written below that
/// number are never read. An answer of a newer era therefore makes the process
/// read the whole table, whatever its numbers are.
struct TableCursor {
  /// All changes up to here are known. Number 0: the whole table must be read.
  model::Revision m_revision;
  /// Newest era that an answer or another process has stated.
  uint64_t m_newest_era = 0;
};

/// What to do with an answer.
enum class AnswerUse {
  kApply,
  /// It holds changes of a newer era only: the whole table must be read first.
  kReadWhole,
  /// It was given before the store came back, and arrived late.
  kDiscard,
};

inline bool NeedsWholeTable(const TableCursor& cursor) {
  return cursor.m_revision.m_number == 0 ||
         cursor.m_revision.m_era < cursor.m_newest_era;
}

/// Records that a store of `era` exists. Returns whether that is news.
inline bool RecordEra(TableCursor& cursor, uint64_t era) {
  if (era <= cursor.m_newest_era)
    return false;
  cursor.m_newest_era = era;
  return true;
}

/// Records an answer that the store dates `revision`. `whole`: it holds the
/// whole table rather than changes.
inline AnswerUse RecordAnswer(TableCursor& cursor,
                              model::Revision revision,
                              bool whole) {
  RecordEra(cursor, revision.m_era);
  if (revision.m_era < cursor.m_newest_era)
    return AnswerUse::kDiscard;
  if (!whole && NeedsWholeTable(cursor))
    return AnswerUse::kReadWhole;
  cursor.m_revision = std::max(cursor.m_revision, revision);
  return AnswerUse::kApply;
}

/// Records that all changes up to `revision` came from another process.
inline void SkipTo(TableCursor& cursor, model::Revision revision) {
  RecordEra(cursor, revision.m_era);
  cursor.m_revision = std::max(cursor.m_revision, revision);
}

/// Records that the store doesn't have the changes after the cursor.
inline void RecordHistoryGone(TableCursor& cursor) {
  cursor.m_revision.m_number = 0;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_STORE_TABLE_CURSOR_H_
