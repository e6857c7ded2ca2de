#ifndef VERBENALEAD_DECIDE_ROLLOUT_DECLARATION_UPKEEP_H_
#define VERBENALEAD_DECIDE_ROLLOUT_DECLARATION_UPKEEP_H_

#include <string>

#include "base/time.h"

namespace verbenalead::decide {

enum class UpkeepStep {
  kNone,
  kWrite,  ///< Write the row of this data centre.
  kRead,   ///< Read the rows of all data centres.
};

/// What a process knows for the choice of the next step.
struct UpkeepFacts {
  /// This process reads the store for its data centre.
  bool m_reads_store = false;
  /// The dates known here as they would be written; empty: there are none.
  std::string m_row;
  /// The date of a version that doesn't bind yet is a guess.
  bool m_guesses = false;
};

/// Keeps the dates of declared versions in the store.
///
/// Failure: all processes end after two versions were declared. Symptom: those
/// that start then know the newest version alone, and guess its date: they let
/// calls begin on weights that are barred, or refuse calls seconds before they
/// have to. The process that reads the store for its data centre dates a
/// declaration within milliseconds and writes the date down at once, so only an
/// end of all processes within that time leaves a guess.
///
/// Load: hundreds of processes. Only those that read the store write, once for
/// each declaration, and read only while they guess.
struct DeclarationUpkeep {
  /// The row as it was last written.
  std::string m_written;
  TimePoint m_next_read_at{};
  TimePoint m_next_write_at{};
};

/// The pause after a read that didn't end the guess, or after a failure.
constexpr Duration kUpkeepPause = 500ms;

inline UpkeepStep NextStep(const DeclarationUpkeep& upkeep,
                           const UpkeepFacts& facts,
                           TimePoint now) {
  if (!facts.m_reads_store)
    return UpkeepStep::kNone;
  if (!facts.m_row.empty() && facts.m_row != upkeep.m_written &&
      now >= upkeep.m_next_write_at)
    return UpkeepStep::kWrite;
  if (facts.m_guesses && now >= upkeep.m_next_read_at)
    return UpkeepStep::kRead;
  return UpkeepStep::kNone;
}

inline void RecordWrite(DeclarationUpkeep& upkeep,
                        const std::string& row,
                        bool succeeded,
                        TimePoint now) {
  if (succeeded)
    upkeep.m_written = row;
  else
    upkeep.m_next_write_at = now + kUpkeepPause;
}

inline void RecordRead(DeclarationUpkeep& upkeep, TimePoint now) {
  upkeep.m_next_read_at = now + kUpkeepPause;
}

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_ROLLOUT_DECLARATION_UPKEEP_H_
