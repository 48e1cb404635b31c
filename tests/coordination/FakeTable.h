#ifndef CORNELRUDDER_TESTS_FAKE_TABLE_H
#define CORNELRUDDER_TESTS_FAKE_TABLE_H

#include "cornelrudder/coordination/EventLog.h"
#include "cornelrudder/coordination/StorePort.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::tests {

/** Fault that the table applies to the next writes. */
enum class TableFault
{
  kNone,
  /** The write is not sent; the result is kUnavailable. */
  kNotSent,
  /** The write has no effect and no response. */
  kLost,
  /** The write takes effect; its response is lost. */
  kAnswerLost,
  /** The write takes effect only when DeliverLate() is called. */
  kLate
};

/** Behaviour of the table for all operations. */
enum class TableMode
{
  kNormal,
  /** No operation has an effect, and the result says so. */
  kUnavailable,
  /** Reads fail, and writes have no effect but an unknown outcome. */
  kSilent,
  /** Writes take effect, but their responses are lost. */
  kLoseResponses
};

/**
 * In-memory table that several daemons share; safe to use from several threads.
 * Completions run on the calling thread.
 */
class FakeTable final : public coordination::StorePort
{
public:
  void ReadRow(const std::string& aKey, Completion aCompletion) override;
  void ListRows(const std::string& aPrefix, Completion aCompletion) override;
  void Transact(const state::Transaction& aTransaction,
                Completion aCompletion) override;

  /** Applies a fault to the next writes. */
  void FailWrites(TableFault aFault, int aCount);

  void SetMode(TableMode aMode);

  /** Makes all operations fail, or restores normal operation. */
  void SetDown(bool aDown)
  {
    SetMode(aDown ? TableMode::kUnavailable : TableMode::kNormal);
  }

  /** Applies the writes delayed by TableFault::kLate. */
  void DeliverLate();

  /** Sets a function to call before each write, outside the lock. */
  void SetBeforeWrite(std::function<void(const state::Transaction&)> aHook);

  /** Writes a row without checking its version. */
  void Put(const std::string& aKey,
           const std::string& aValue,
           const std::string& aWriteId);

  std::optional<state::StoreRow> Row(const std::string& aKey);
  std::vector<state::StoreRow> Rows();
  int Reads();
  int Writes();

private:
  bool IsReadable() const
  {
    return mMode == TableMode::kNormal || mMode == TableMode::kLoseResponses;
  }

  state::StoreResult Apply(const state::Transaction& aTransaction);

  std::mutex mMutex;
  std::map<std::string, state::StoreRow> mRows;
  std::vector<state::Transaction> mLate;
  std::function<void(const state::Transaction&)> mBeforeWrite;
  TableFault mFault = TableFault::kNone;
  int mFaultsLeft = 0;
  TableMode mMode = TableMode::kNormal;
  int mReads = 0;
  int mWrites = 0;
};

/** Records the logged events. */
class FakeLog final : public coordination::EventLog
{
public:
  void Write(const coordination::LogRecord& aRecord) override;
  int Count(coordination::LogEvent aEvent);
  /** @return A field of the last record of an event, or nothing. */
  std::string LastField(coordination::LogEvent aEvent,
                        const std::string& aName);

private:
  std::mutex mMutex;
  std::vector<coordination::LogRecord> mRecords;
};

/**
 * Waits until a condition holds.
 * @return False if it did not hold within a minute.
 */
bool
WaitUntil(const std::function<bool()>& aCondition);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FAKE_TABLE_H
