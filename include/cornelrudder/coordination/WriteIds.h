#ifndef CORNELRUDDER_COORDINATION_WRITE_IDS_H
#define CORNELRUDDER_COORDINATION_WRITE_IDS_H

#include <cstdint>
#include <string>

namespace cornelrudder::coordination {

/** Makes identifiers that are unique over all lives of all daemons. */
class WriteIds
{
public:
  /**
   * @param aPrefix Unique for this life of the process.
   */
  explicit WriteIds(std::string aPrefix)
    : mPrefix(std::move(aPrefix))
  {
  }

  std::string Next() { return mPrefix + "-" + std::to_string(++mCount); }

private:
  std::string mPrefix;
  std::uint64_t mCount = 0;
};

} // namespace cornelrudder::coordination

#endif // CORNELRUDDER_COORDINATION_WRITE_IDS_H
