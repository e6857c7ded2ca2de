#ifndef VERBENALEAD_DECIDE_LIMITS_RATE_GATE_H_
#define VERBENALEAD_DECIDE_LIMITS_RATE_GATE_H_

#include <optional>
#include <random>

#include "base/time.h"

namespace verbenalead::decide {

/// What a token bucket admits.
struct GateLimit {
  /// Requests per second; absent: no limit.
  std::optional<double> m_rate;
  /// Size of the bucket; absent: kBurstTokens and the tokens of kBurstTime.
  std::optional<double> m_size;

  friend bool operator==(const GateLimit&, const GateLimit&) = default;
};

/// Token bucket of the one process that admits requests of all entries to a
/// replica with a rate limit.
///
/// Load: hundreds of entries send calls to a replica that takes one request a
/// second. Harm: if each entry kept to the limit by itself, the replica would
/// get as many times its limit as there are entries; if each kept to an equal
/// share, an entry could send it a call every few minutes, and the replica
/// would be idle. So one process holds the bucket, and entries ask it for a
/// token for each request.
///
///     SetRate(gate, 2.3, now);
///     if (HasToken(gate, now)) TakeToken(gate, now);
///     else hold_off = RecordDenial(gate, now, random);
struct RateGate {
  /// Requests per second; absent: no limit.
  std::optional<double> m_rate;
  /// Tokens that the bucket holds at most; absent: as for a stated limit.
  std::optional<double> m_size;
  double m_tokens = 0;
  /// Time up to which tokens were added.
  TimePoint m_filled_at{};
  /// Denials, decayed exponentially with kDenialDecayTime.
  double m_denials = 0;
  TimePoint m_denials_decayed_at{};
};

/// Rate at which a replica whose limit is lower still gets requests. Without
/// any, the end of its limit would never be noticed.
constexpr double kMinRequestRate = 0.1;
/// Size of the bucket: this many tokens and those of kBurstTime. In any time t
/// at most rate * t + size requests are admitted. A process that restarts, or
/// that takes over from another one, starts with an empty bucket, so that the
/// two, one after the other, admit no more than one would.
constexpr double kBurstTokens = 2;
constexpr Duration kBurstTime = 400ms;

/// Sets the limit. A bucket that had none starts empty, because requests were
/// sent freely until now; one whose limit falls keeps no more tokens than fit.
void SetRate(RateGate& gate, std::optional<double> rate, TimePoint now);
/// The same for a limit with a bucket size of its own. A bucket that gets such
/// a size starts empty as well: the requests that were sent under another limit
/// may be more than the new one admits.
void SetLimit(RateGate& gate, const GateLimit& limit, TimePoint now);

/// Whether a request may be sent now.
bool HasToken(const RateGate& gate, TimePoint now);

/// Counts a request. Must only be called if HasToken() holds.
void TakeToken(RateGate& gate, TimePoint now);

/// Time until `tokens` tokens will be there if none is taken meanwhile; zero if
/// they are there.
Duration TimeToTokens(const RateGate& gate, double tokens, TimePoint now);

/// Records that a request was denied, and returns for how long the entry should
/// not ask again: until the next token, and a random time that grows with the
/// number of denials. Without the latter, hundreds of entries would all ask
/// again at the time of the next token.
Duration RecordDenial(RateGate& gate, TimePoint now, std::mt19937_64& random);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_LIMITS_RATE_GATE_H_
