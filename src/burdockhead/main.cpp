#include <cstdio>

int main()
{
    std::puts("burdockhead " BURDOCKHEAD_VERSION);
    return 0;
}
