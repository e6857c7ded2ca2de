#ifndef VERBENALEAD_MODEL_OUTCOME_H_
#define VERBENALEAD_MODEL_OUTCOME_H_

#include <string_view>

#include "base/failure.h"

namespace verbenalead::model {

/// The outcome of a request as reported to its caller.
enum class Outcome {
  kCompleted,  ///< Executed; the complete response was delivered.
  kRefused,    ///< Not executed, and will not be.
  kFailed,     ///< Executed, but failed.
  kUnknown,    ///< May have been executed.
};

const char* ToString(Outcome outcome);
Result<Outcome> ParseOutcome(std::string_view text);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_OUTCOME_H_
