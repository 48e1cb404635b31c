#include "cornelrudder/transport/ConnectionLimiter.h"

#include <algorithm>
#include <utility>

namespace cornelrudder::transport {

namespace {

/** An overload has ended when nothing was displaced for so long. */
constexpr std::chrono::milliseconds kQuietTime{ 5'000 };
/** Bodies of the largest size that fit at once. */
constexpr std::size_t kLargestBodies = 2;

struct CounterName
{
  ConnectionIncident mIncident;
  const char* mName;
};

constexpr std::array kCounterNames{
  CounterName{ ConnectionIncident::kDisplaced,
               "http_connections_displaced_total" },
  CounterName{ ConnectionIncident::kRejected, "http_requests_rejected_total" },
  CounterName{ ConnectionIncident::kIdleTimeout,
               "http_connections_timed_out_total{phase=\"idle\"}" },
  CounterName{ ConnectionIncident::kHeaderTimeout,
               "http_connections_timed_out_total{phase=\"header\"}" },
  CounterName{ ConnectionIncident::kBodyTimeout,
               "http_connections_timed_out_total{phase=\"body\"}" },
  CounterName{ ConnectionIncident::kWriteTimeout,
               "http_connections_timed_out_total{phase=\"write\"}" },
};

} // namespace

ConnectionLimiter::Slot::Slot(ConnectionLimiter& aLimiter,
                              std::uint64_t aListener,
                              std::function<void()> aOnDisplaced)
  : mLimiter(aLimiter)
  , mId(++aLimiter.mLastId)
  , mOnDisplaced(std::move(aOnDisplaced))
{
  mLoad.mListener = aListener;
  mLoad.mSince = std::chrono::steady_clock::now();
  mLimiter.Register(*this);
}

ConnectionLimiter::Slot::~Slot()
{
  mLimiter.Unregister(*this);
}

void
ConnectionLimiter::Slot::Charge(ConnectionPhase aPhase, std::size_t aBytes)
{
  if (mIsDisplaced) {
    return;
  }
  if (aPhase != mLoad.mPhase) {
    mLoad.mSince = std::chrono::steady_clock::now();
  }
  mLoad.mPhase = aPhase;
  mLoad.mBytes = aBytes;
  mLimiter.Update(*this);
}

ConnectionLimiter::ConnectionLimiter(IoThread& aThread,
                                     std::size_t aMaxBytes,
                                     OverloadHandler aOnOverload)
  : mThread(aThread)
  , mBudget(aMaxBytes)
  , mOnOverload(std::move(aOnOverload))
{
}

void
ConnectionLimiter::EnsureRoomFor(std::size_t aBodyBytes)
{
  mBudget.SetMaxBytes(
    std::max(mBudget.MaxBytes(), kLargestBodies * aBodyBytes));
}

bool
ConnectionLimiter::DisplaceOne(std::uint64_t aListener)
{
  const auto id = mBudget.FirstToClose(aListener);
  if (id) {
    Displace(*id);
    PublishGauges();
  }
  return id.has_value();
}

void
ConnectionLimiter::Count(ConnectionIncident aIncident)
{
  mCounts.at(static_cast<std::size_t>(aIncident))
    .fetch_add(1, std::memory_order_relaxed);
}

std::map<std::string, std::uint64_t>
ConnectionLimiter::Counters() const
{
  std::map<std::string, std::uint64_t> counters;
  for (const CounterName& row : kCounterNames) {
    counters[row.mName] = CountOf(row.mIncident);
  }
  counters["http_open_connections"] = mConnectionsGauge;
  counters["http_connection_bytes"] = mBytesGauge;
  return counters;
}

void
ConnectionLimiter::Register(Slot& aSlot)
{
  mSlots.emplace(aSlot.mId, &aSlot);
  Update(aSlot);
}

void
ConnectionLimiter::Unregister(Slot& aSlot)
{
  mBudget.Remove(aSlot.mId);
  mSlots.erase(aSlot.mId);
  PublishGauges();
}

void
ConnectionLimiter::Update(Slot& aSlot)
{
  mBudget.Put(aSlot.mId, aSlot.mLoad);
  while (mBudget.IsExceeded()) {
    const auto id = mBudget.FirstToClose();
    if (!id) {
      break;
    }
    Displace(*id);
  }
  PublishGauges();
}

void
ConnectionLimiter::Displace(ConnectionBudget::Id aId)
{
  Slot& slot = *mSlots.at(aId);
  mBudget.Remove(aId);
  mSlots.erase(aId);
  slot.mIsDisplaced = true;
  ReportBegin();
  Count(ConnectionIncident::kDisplaced);
  slot.mOnDisplaced();
}

void
ConnectionLimiter::ReportBegin()
{
  if (mIsOverloaded) {
    return;
  }
  mIsOverloaded = true;
  mDisplacedBefore = CountOf(ConnectionIncident::kDisplaced);
  mRejectedBefore = CountOf(ConnectionIncident::kRejected);
  mDisplacedAtCheck = mDisplacedBefore;
  if (mOnOverload) {
    mOnOverload({ false, mBudget.Connections(), mBudget.Bytes(), 0, 0 });
  }
  ScheduleEndCheck();
}

void
ConnectionLimiter::ScheduleEndCheck()
{
  mThread.PostAfter(kQuietTime, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->CheckEnd();
    }
  });
}

void
ConnectionLimiter::CheckEnd()
{
  const std::uint64_t displaced = CountOf(ConnectionIncident::kDisplaced);
  if (displaced != std::exchange(mDisplacedAtCheck, displaced)) {
    ScheduleEndCheck();
    return;
  }
  mIsOverloaded = false;
  if (mOnOverload) {
    mOnOverload({ true,
                  mBudget.Connections(),
                  mBudget.Bytes(),
                  displaced - mDisplacedBefore,
                  CountOf(ConnectionIncident::kRejected) - mRejectedBefore });
  }
}

std::uint64_t
ConnectionLimiter::CountOf(ConnectionIncident aIncident) const
{
  return mCounts.at(static_cast<std::size_t>(aIncident))
    .load(std::memory_order_relaxed);
}

void
ConnectionLimiter::PublishGauges()
{
  mBytesGauge.store(mBudget.Bytes(), std::memory_order_relaxed);
  mConnectionsGauge.store(mBudget.Connections(), std::memory_order_relaxed);
}

} // namespace cornelrudder::transport
