#ifndef CORNELRUDDER_STATE_STORE_ROW_H
#define CORNELRUDDER_STATE_STORE_ROW_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelrudder::state {

/** A row of the platform's table; version 0 means that it is absent. */
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

  /** Identifier of the transaction that wrote the row last. */
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

/** A conditional write of one row. */
class RowWrite
{
public:
  /**
   * @param aExpectedVersion Version the row must have; 0 for absent.
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

/** Rows that are written together or not at all. */
class Transaction
{
public:
  Transaction(std::string aWriteId, std::vector<RowWrite> aWrites)
    : mWriteId(std::move(aWriteId))
    , mWrites(std::move(aWrites))
  {
  }

  const std::string& WriteId() const { return mWriteId; }
  const std::vector<RowWrite>& Writes() const { return mWrites; }

  auto operator<=>(const Transaction&) const = default;

private:
  std::string mWriteId;
  std::vector<RowWrite> mWrites;
};

enum class StoreStatus
{
  kOk,
  /** A row had another version; the result holds the current rows. */
  kConflict,
  /** The operation certainly had no effect. */
  kUnavailable,
  /** A write may or may not have taken effect. */
  kUnknown
};

/** Result of a read or a transaction. */
class StoreResult
{
public:
  StoreResult(StoreStatus aStatus, std::vector<StoreRow> aRows)
    : mStatus(aStatus)
    , mRows(std::move(aRows))
  {
  }

  StoreStatus Status() const { return mStatus; }

  /** Rows read, rows written, or the rows in conflict. */
  const std::vector<StoreRow>& Rows() const { return mRows; }

  auto operator<=>(const StoreResult&) const = default;

private:
  StoreStatus mStatus;
  std::vector<StoreRow> mRows;
};

} // namespace cornelrudder::state

#endif // CORNELRUDDER_STATE_STORE_ROW_H
