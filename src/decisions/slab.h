#pragma once

#include "decisions/indexes.h"

#include <array>
#include <cstddef>
#include <memory>
#include <vector>

namespace guavavalve::internal {

/// Records with stable indexes and addresses. Freed indexes are reused, the last freed first. Grows
/// by chunks, because moving all records on growth would delay a decision by milliseconds.
template<typename Record>
class Slab
{
public:
    Index add()
    {
        if (this->unused.empty()) {
            if (this->used % chunkSize == 0)
                this->chunks.push_back(std::make_unique<Chunk>());
            return this->used++;
        }
        const Index index = this->unused.back();
        this->unused.pop_back();
        (*this)[index] = Record();
        return index;
    }

    void remove(Index index) { this->unused.push_back(index); }

    Record &operator[](Index index)
    {
        return (*this->chunks[index / chunkSize])[index % chunkSize];
    }
    const Record &operator[](Index index) const
    {
        return (*this->chunks[index / chunkSize])[index % chunkSize];
    }

    /// Number of indexes ever used, including removed ones.
    Index limit() const { return this->used; }

    /// Number of records in use.
    std::size_t size() const { return this->used - this->unused.size(); }

private:
    static constexpr Index chunkSize = 256;
    using Chunk = std::array<Record, chunkSize>;

    std::vector<std::unique_ptr<Chunk>> chunks;
    Index used = 0; ///< number of indexes ever handed out
    std::vector<Index> unused;
};

} // namespace guavavalve::internal
