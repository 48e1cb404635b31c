#ifndef CORNELRUDDER_STATE_STORE_ROW_H
#define CORNELRUDDER_STATE_STORE_ROW_H

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::state {

/** A row of the platform's table; version 0 means that the row is absent. */
class StoreRow
{
public:
  StoreRow(std::string aKey,
           std::uint64_t aVersion,
           std::string aWriteId,
           std::string aValue)
    : mKey(std::move(aKey))
    , mVersion(aVersion)
    , mWriteId(std::move(aWriteId))
    , mValue(std::move(aValue))
  {
  }

  const std::string& Key() const { return mKey; }
  std::uint64_t Version() const { return mVersion; }

  /** Identifier of the last transaction that wrote the row. */
  const std::string& WriteId() const { return mWriteId; }

  /** Encoded value; empty if the row is absent. */
  const std::string& Value() const { return mValue; }

  auto operator<=>(const StoreRow&) const = default;

private:
  std::string mKey;
  std::uint64_t mVersion;
  std::string mWriteId;
  std::string mValue;
};

/** A write of one row. */
class RowWrite
{
public:
  /** Expected version of a write that accepts any version of its row. */
  static constexpr std::uint64_t kAnyVersion =
    std::numeric_limits<std::uint64_t>::max();

  /**
   * @param aExpectedVersion Version that the row must have; 0 if it must be
   *   absent.
   * @param aValue The new value, or nothing to delete the row.
   */
  RowWrite(std::string aKey,
           std::uint64_t aExpectedVersion,
           std::optional<std::string> aValue)
    : mKey(std::move(aKey))
    , mExpectedVersion(aExpectedVersion)
    , mValue(std::move(aValue))
  {
  }

  const std::string& Key() const { return mKey; }
  std::uint64_t ExpectedVersion() const { return mExpectedVersion; }
  const std::optional<std::string>& Value() const { return mValue; }

  auto operator<=>(const RowWrite&) const = default;

private:
  std::string mKey;
  std::uint64_t mExpectedVersion;
  std::optional<std::string> mValue;
};

/** An expected version of a row that the transaction does not write. */
class RowCondition
{
public:
  /**
   * @param aExpectedVersion Version that the row must have; 0 if it must be
   *   absent.
   */
  RowCondition(std::string aKey, std::uint64_t aExpectedVersion)
    : mKey(std::move(aKey))
    , mExpectedVersion(aExpectedVersion)
  {
  }

  const std::string& Key() const { return mKey; }
  std::uint64_t ExpectedVersion() const { return mExpectedVersion; }

  auto operator<=>(const RowCondition&) const = default;

private:
  std::string mKey;
  std::uint64_t mExpectedVersion;
};

/** Writes that are applied atomically if all expected versions match. */
class Transaction
{
public:
  Transaction(std::string aWriteId,
              std::vector<RowWrite> aWrites,
              std::vector<RowCondition> aConditions = {})
    : mWriteId(std::move(aWriteId))
    , mWrites(std::move(aWrites))
    , mConditions(std::move(aConditions))
  {
  }

  const std::string& WriteId() const { return mWriteId; }
  const std::vector<RowWrite>& Writes() const { return mWrites; }
  const std::vector<RowCondition>& Conditions() const { return mConditions; }

  auto operator<=>(const Transaction&) const = default;

private:
  std::string mWriteId;
  std::vector<RowWrite> mWrites;
  std::vector<RowCondition> mConditions;
};

enum class StoreStatus
{
  kOk,
  /** A row had another version; the result contains the current rows. */
  kConflict,
  /** The operation certainly had no effect. */
  kUnavailable,
  /** A write may or may not have taken effect. */
  kOutcomeUnknown,
  /**
   * The store refuses the operation as it is: it had no effect, and a
   * repetition would not have one either.
   */
  kRejected
};

/** Result of a read or a transaction. */
class StoreResult
{
public:
  /**
   * @param aVersion Newest version in the store; 0 if the store did not send
   *   it.
   * @param aStoreTime The store's steady clock; 0 if the store did not send it.
   * @param aHasMore Whether rows were left out because of a limit on their
   *   number.
   */
  StoreResult(StoreStatus aStatus,
              std::vector<StoreRow> aRows,
              std::uint64_t aVersion = 0,
              std::chrono::milliseconds aStoreTime = {},
              bool aHasMore = false)
    : mStatus(aStatus)
    , mRows(std::move(aRows))
    , mVersion(aVersion)
    , mStoreTime(aStoreTime)
    , mHasMore(aHasMore)
  {
  }

  StoreStatus Status() const { return mStatus; }

  /** Rows read, rows written, or rows in conflict. */
  const std::vector<StoreRow>& Rows() const { return mRows; }

  std::uint64_t Version() const { return mVersion; }
  std::chrono::milliseconds StoreTime() const { return mStoreTime; }
  bool HasMore() const { return mHasMore; }

  auto operator<=>(const StoreResult&) const = default;

private:
  StoreStatus mStatus;
  std::vector<StoreRow> mRows;
  std::uint64_t mVersion;
  std::chrono::milliseconds mStoreTime;
  bool mHasMore;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_STORE_ROW_H
