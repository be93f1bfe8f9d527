import sys
dr=float(sys.argv[1]); per=float(sys.argv[2]); sets=int(sys.argv[3]); share=sys.argv[4]; outs=sys.argv[5]; ds=float(sys.argv[6]); nb=int(sys.argv[7])
P=[];F=[]
t0=1.0
for i in range(sets):
    t=t0+i*per
    F.append('{ at = %.2f, kind = "core_cut", zone = "lisse", count = 1, for_s = 6.5, how = "turn" }'%t)
    F.append('{ at = %.2f, kind = "core_cut", zone = "lisse", count = 1, for_s = 6.5, how = "turn" }'%(t+dr))
    F.append('{ at = %.2f, kind = "core_cut", zone = "lisse", count = 1, for_s = 6.5, how = "turn" }'%(t+dr+0.01))
    P.append('{ at = %.2f, kind = "scale_in", share = %s, service = "bollen-llm" }'%(t+6.5+ds,share))
    if i+1<sets and (outs=='all' or str(i) in outs.split(',')): P.append('{ at = %.2f, kind = "scale_out", share = 0.25, gap_s = 1.0, service = "bollen-llm" }'%(t+10.2))
for b in range(nb):
    F.append('{ at = %.2f, kind = "burst", zone = "lisse", x = 2.0, for_s = 14.0 }'%(t0+9.0+b*15.0))
L=min(92.0,t0+sets*per+0.5)
assert len(P)+len(F)<=40,(len(P)+len(F))
print('name = "relays-cut"\nlength_s = %.1f\nplan = [\n'%L+''.join('  %s,\n'%f for f in P)+']\nfaults = [\n'+''.join('  %s,\n'%f for f in F)+']')
