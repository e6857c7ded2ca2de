#include "decide/place_queue.h"

#include <algorithm>

#include "decide/replica_pool.h"

namespace verbenalead::decide {
namespace {

/// Wishes that are kept at most, several times what can be granted in time.
constexpr size_t kMostWishes = 256;

Duration ReadingTime(const PlaceQueue& queue, uint64_t tokens) {
  if (queue.m_prefill_rate <= 0)
    return Duration();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(tokens) / queue.m_prefill_rate));
}

/// When a call must start at an idle replica to be on time.
TimePoint StartBy(const PlaceQueue& queue, const PlaceWish& wish) {
  return wish.m_read_by - ReadingTime(queue, wish.m_prompt_tokens);
}

/// The order of fresh wishes. By the latest start alone, a long prompt would
/// often find too little time left: it has a short one to begin with, and comes
/// behind all whose time is nearly up. So its reading counts thrice.
TimePoint RankOf(const PlaceQueue& queue, const PlaceWish& wish) {
  return StartBy(queue, wish) - 2 * ReadingTime(queue, wish.m_prompt_tokens);
}

bool IsMoreUrgent(const PlaceQueue& queue,
                  const PlaceWish& a,
                  const PlaceWish& b) {
  if (a.m_fresh != b.m_fresh)
    return a.m_fresh;
  return a.m_fresh ? RankOf(queue, a) < RankOf(queue, b)
                   : a.m_read_by < b.m_read_by;
}

/// Whether calls that were promised a place still begin in time behind a prompt
/// that is read until `read_at`. Prompts that come between two passes are all
/// read before the next one writes: a long one makes all that came with it
/// wait.
bool KeepsPromises(const PlaceQueue& queue, TimePoint read_at) {
  return std::all_of(queue.m_promises.begin(), queue.m_promises.end(),
                     [read_at](const PlaceQueue::Promise& promise) {
                       return read_at <= promise.m_read_by;
                     });
}

bool CanStart(const PlaceQueue& queue,
              const PlaceWish& wish,
              const ReplicaLoad& load,
              TimePoint now) {
  const TimePoint read_at =
      now + ReadingTime(queue, load.m_unread + wish.m_prompt_tokens);
  if (!HasRoom(queue.m_slots, queue.m_prefill_rate, load.m_calls,
               load.m_unread) ||
      !KeepsPromises(queue, read_at))
    return false;
  return !wish.m_fresh ||
         now + ReadingTime(queue, load.m_unread) <= StartBy(queue, wish);
}

/// It waited as long as it may, or can't be on time even if it starts now.
bool IsPast(const PlaceQueue& queue, const PlaceWish& wish, TimePoint now) {
  return wish.m_until <= now || (wish.m_fresh && StartBy(queue, wish) < now);
}

/// The most urgent wish, or the end.
std::vector<PlaceWish>::iterator FindHead(PlaceQueue& queue) {
  return std::min_element(queue.m_wishes.begin(), queue.m_wishes.end(),
                          [&queue](const PlaceWish& a, const PlaceWish& b) {
                            return IsMoreUrgent(queue, a, b);
                          });
}

/// Whether a call that comes now goes before those that wait. It does if the
/// first of them can't start yet; else a place would stay empty. One that can't
/// be on time goes before none that can.
bool MayPass(PlaceQueue& queue,
             const PlaceWish& wish,
             const ReplicaLoad& load,
             TimePoint now) {
  const auto head = FindHead(queue);
  if (head == queue.m_wishes.end() || IsMoreUrgent(queue, wish, *head))
    return true;
  return wish.m_fresh && !CanStart(queue, *head, load, now);
}

/// Forgets wishes that can't be fulfilled any more, and promises that have
/// been.
void ForgetPast(PlaceQueue& queue, TimePoint now) {
  std::erase_if(queue.m_wishes, [&](const PlaceWish& wish) {
    return IsPast(queue, wish, now);
  });
  std::erase_if(queue.m_promises, [&](const PlaceQueue::Promise& promise) {
    return std::min(promise.m_read_by, promise.m_read_at) <= now;
  });
}

/// A place is granted to `wish`.
void Promise(PlaceQueue& queue,
             const PlaceWish& wish,
             const ReplicaLoad& load,
             TimePoint now) {
  if (wish.m_fresh) {
    queue.m_promises.push_back(
        {wish.m_read_by,
         now + ReadingTime(queue, load.m_unread + wish.m_prompt_tokens)});
  }
}

}  // namespace

PlaceVerdict Ask(PlaceQueue& queue,
                 const PlaceWish& wish,
                 const ReplicaLoad& load,
                 TimePoint now) {
  ForgetPast(queue, now);
  if (MayPass(queue, wish, load, now) && CanStart(queue, wish, load, now)) {
    Promise(queue, wish, load, now);
    return PlaceVerdict::kGranted;
  }
  if (IsPast(queue, wish, now) || queue.m_wishes.size() >= kMostWishes)
    return PlaceVerdict::kDenied;
  Withdraw(queue, wish.m_entry, wish.m_ticket);
  queue.m_wishes.push_back(wish);
  return PlaceVerdict::kQueued;
}

std::vector<PlaceWish> Grant(PlaceQueue& queue,
                             ReplicaLoad load,
                             TimePoint now) {
  ForgetPast(queue, now);
  std::vector<PlaceWish> granted;
  for (auto head = FindHead(queue);
       head != queue.m_wishes.end() && CanStart(queue, *head, load, now);
       head = FindHead(queue)) {
    Promise(queue, *head, load, now);
    ++load.m_calls;
    load.m_unread += head->m_prompt_tokens;
    granted.push_back(*head);
    queue.m_wishes.erase(head);
  }
  return granted;
}

void Withdraw(PlaceQueue& queue, const Endpoint& entry, uint64_t ticket) {
  std::erase_if(queue.m_wishes, [&](const PlaceWish& wish) {
    return wish.m_entry == entry && wish.m_ticket == ticket;
  });
}

}  // namespace verbenalead::decide
