// Entry point of the ebonywick binary.
int main()
{
    return 0;
}
