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

/** What the table does with the next operations. */
enum class TableFault
{
  kNone,
  /** Nothing is sent. */
  kNotSent,
  /** The operation has no effect and no answer. */
  kLost,
  /** A write takes effect; its answer is lost. */
  kAnswerLost,
  /** A write takes effect only when DeliverLate() is called. */
  kLate
};

/** What the table does with all operations. */
enum class TableMode
{
  kNormal,
  /** Nothing is carried out, and callers know it. */
  kUnavailable,
  /** Nothing is carried out, and callers cannot know it. */
  kSilent,
  /** Writes are carried out, but their answers are lost. */
  kLoseAnswers
};

/**
 * In-memory table for several daemons; safe to use from several threads.
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

  /** Makes all operations fail, or stops that. */
  void SetDown(bool aDown)
  {
    SetMode(aDown ? TableMode::kUnavailable : TableMode::kNormal);
  }

  /** Applies the delayed writes. */
  void DeliverLate();

  /** Called before each write is applied, outside the lock. */
  void SetBeforeWrite(std::function<void(const state::Transaction&)> aHook);

  /** Writes a row without a check of its version. */
  void Put(const std::string& aKey,
           const std::string& aValue,
           const std::string& aWriteId);

  std::optional<state::StoreRow> Row(const std::string& aKey);
  std::vector<state::StoreRow> Rows();
  int Reads();
  int Writes();

private:
  bool Readable() const
  {
    return mMode == TableMode::kNormal || mMode == TableMode::kLoseAnswers;
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

/** Keeps the events that were logged. */
class FakeLog final : public coordination::EventLog
{
public:
  void Write(const coordination::LogRecord& aRecord) override;
  int Count(coordination::LogEvent aEvent);

private:
  std::mutex mMutex;
  std::vector<coordination::LogRecord> mRecords;
};

/**
 * Waits until a condition holds.
 * @return Whether it held within a generous time.
 */
bool
WaitUntil(const std::function<bool()>& aCondition);

} // namespace cornelrudder::tests

#endif // CORNELRUDDER_TESTS_FAKE_TABLE_H
