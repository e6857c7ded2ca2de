#ifndef VERBENALEAD_MODEL_OUTCOME_H_
#define VERBENALEAD_MODEL_OUTCOME_H_

#include <string_view>

#include "base/failure.h"

namespace verbenalead::model {

/// What became of a request, as its caller is told.
enum class Outcome {
  kCompleted,  ///< It ran; the whole answer was delivered.
  kRefused,    ///< It was not run, and will not be.
  kFailed,     ///< It ran and did not end well.
  kUnknown,    ///< It may have run.
};

const char* ToString(Outcome outcome);
Result<Outcome> ParseOutcome(std::string_view text);

}  // namespace verbenalead::model

#endif  // VERBENALEAD_MODEL_OUTCOME_H_
