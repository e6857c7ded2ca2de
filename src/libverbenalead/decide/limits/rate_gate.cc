#include "decide/limits/rate_gate.h"

#include <algorithm>
#include <cmath>

namespace verbenalead::decide {
namespace {

constexpr Duration kDenialDecayTime = 2s;
/// Requests for a token that should arrive for each token. With fewer, a token
/// would often lie unused until the next request for it.
constexpr double kAsksPerToken = 4;
/// Upper bound of the random part of the hold-off, so that an entry whose
/// competitors have no calls any more asks again soon.
constexpr Duration kMaxSpread = 10s;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double EffectiveRate(const RateGate& gate) {
  return std::max(kMinRequestRate, gate.m_rate.value_or(0));
}

double Capacity(const RateGate& gate) {
  if (gate.m_size)
    return *gate.m_size;
  return kBurstTokens + EffectiveRate(gate) * Seconds(kBurstTime);
}

double TokensAt(const RateGate& gate, TimePoint now) {
  const Duration since = std::max(Duration(), now - gate.m_filled_at);
  return std::min(Capacity(gate),
                  gate.m_tokens + EffectiveRate(gate) * Seconds(since));
}

void Fill(RateGate& gate, TimePoint now) {
  gate.m_tokens = TokensAt(gate, now);
  gate.m_filled_at = std::max(gate.m_filled_at, now);
}

}  // namespace

void SetRate(RateGate& gate, std::optional<double> rate, TimePoint now) {
  SetLimit(gate, {rate, std::nullopt}, now);
}

void SetLimit(RateGate& gate, const GateLimit& limit, TimePoint now) {
  if (gate.m_rate == limit.m_rate && gate.m_size == limit.m_size)
    return;
  if (!gate.m_rate || (!gate.m_size && limit.m_size)) {
    gate = RateGate();
    gate.m_filled_at = now;
    gate.m_denials_decayed_at = now;
  } else {
    Fill(gate, now);
  }
  gate.m_rate = limit.m_rate;
  gate.m_size = limit.m_size;
  gate.m_tokens = std::min(gate.m_tokens, Capacity(gate));
}

bool HasToken(const RateGate& gate, TimePoint now) {
  return !gate.m_rate || TimeToTokens(gate, 1, now) == Duration();
}

void TakeToken(RateGate& gate, TimePoint now) {
  if (!gate.m_rate)
    return;
  Fill(gate, now);
  gate.m_tokens = std::max(0.0, gate.m_tokens - 1);
}

Duration TimeToTokens(const RateGate& gate, double tokens, TimePoint now) {
  const double missing = tokens - TokensAt(gate, now);
  // Rounding may leave a little less than a whole token at the time that this
  // function gave as that of the next token.
  constexpr double kRounding = 1e-6;
  if (!gate.m_rate || missing <= kRounding)
    return Duration();
  return FromSeconds(missing / EffectiveRate(gate));
}

Duration RecordDenial(RateGate& gate, TimePoint now, std::mt19937_64& random) {
  const Duration since = std::max(Duration(), now - gate.m_denials_decayed_at);
  gate.m_denials =
      gate.m_denials * std::exp(-Seconds(since) / Seconds(kDenialDecayTime)) +
      1;
  gate.m_denials_decayed_at = now;
  const double spread =
      std::min(Seconds(kMaxSpread),
               gate.m_denials / (kAsksPerToken * EffectiveRate(gate)));
  std::uniform_real_distribution<double> within(0, spread);
  return TimeToTokens(gate, 1, now) + FromSeconds(within(random));
}

}  // namespace verbenalead::decide
