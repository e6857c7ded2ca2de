#include "model/outcome.h"

#include "model/json_fields.h"

namespace verbenalead::model {

const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

Result<Outcome> ParseOutcome(std::string_view text) {
  for (Outcome outcome : {Outcome::kCompleted, Outcome::kRefused,
                          Outcome::kFailed, Outcome::kUnknown}) {
    if (text == ToString(outcome))
      return outcome;
  }
  return BadField("outcome", "completed, refused, failed or unknown");
}

}  // namespace verbenalead::model
